/** @file UsageShare.h Shares of an entry VM in the usage caps of organisations. */
#pragma once

#include "kingcup/EntryVmCount.h"
#include "kingcup/RandomSource.h"
#include "kingcup/ReplicatedLogTypes.h"
#include "kingcup/UsageCap.h"

#include <map>
#include <mutex>
#include <string>

namespace kingcup {

/** Answer to a request for a permit. */
struct UsagePermit {
    bool isGranted = false;
    Milliseconds retryAfter { 0 }; ///< Delay after which the caller may retry; 0 with a permit.
    bool isFirstRefusal = false; ///< Whether it is the first refusal of the organisation within a second, which is logged.
};

/**
 * Table of the shares by organisation: a token bucket each, set by the leader's answers to session requests. Handles up to 330
 * organisations with recent demand on a VM of 0.1 core; an organisation without demand takes no memory. Thread-safe.
 */
class UsageShare {
public:
    /** @param shareTerm Time after which a share expires, from the sending of the session request. @param assumedVms Number of entry VMs while it is unknown. */
    UsageShare(const UsageCapLimits& limits, Milliseconds shareTerm, uint32_t assumedVms, uint64_t seed);

    /** Takes a permit for one request of an organisation. */
    UsagePermit takePermit(const std::string& organisation, const UsageCap& cap, TimePoint now);

    /** Returns the permit of a request that ended without having reached a target. */
    void returnPermit(const std::string& organisation, TimePoint now);

    /** Adds the usage of organisations with recent demand and the number of entry VMs to a session request. Removes organisations without demand. @param requestId Id under which it is sent. */
    void addUsage(uint64_t requestId, TimePoint now, wire::SessionRequest& request);

    /** Takes over the shares in the answer to a session request. Answers to other requests than those recorded are ignored. */
    void receiveShares(uint64_t requestId, const wire::SessionAnswer& answer, TimePoint now);

    /** Returns the number of entry VMs to assume while the number of live ones is unknown. */
    uint32_t assumedVms() const;

    /** Returns the number of organisations that the leader has closed. */
    size_t closedOrganisations(TimePoint now) const;

private:
    /** Share of this VM in the cap of one organisation. */
    struct Share {
        double level = 0; ///< Permits that are saved.
        double depth = 0; ///< Most permits that are saved.
        double rate = 0; ///< Permits per second until `end`.
        double isolatedRate = 0; ///< Permits per second after `end`.
        TimePoint end = TimePoint::max(); ///< Time at which the share expires; the greatest time for a VM without one.
        TimePoint filled {}; ///< Time up to which `level` is filled.
        bool isClosed = false; ///< Whether the leader has closed the organisation.
        double demand = 0; ///< Moving average of the requests per second at `asked`.
        TimePoint asked {}; ///< Time of the last request; TimePoint {} for none.
        double unreported = 0; ///< Requests admitted since the last answered report; negative after returned permits.
        TimePoint logged {}; ///< Time of the last refusal that was logged.
    };
    /** Session request whose answer is pending. */
    struct Report {
        TimePoint sent {}; ///< Time of its sending.
        std::map<std::string, double> admitted; ///< Reported requests by organisation.
    };
    Share newShare(const UsageCap& cap, TimePoint now);
    static void fill(Share& share, TimePoint now);
    static double demandAt(const Share& share, TimePoint now);
    Milliseconds retryAfter(const Share& share, TimePoint now);
    void applyShare(const wire::OrganisationShare& granted, TimePoint end, TimePoint now);

    UsageCapLimits limits; ///< Accuracy of the caps.
    Milliseconds shareTerm; ///< Time after which a share expires.
    mutable std::mutex mutex; ///< Guards all members below.
    EntryVmCount vmCount; ///< Number of entry VMs that share the caps.
    RandomSource random; ///< Spreads the delays of refused requests and the first permits of rationed shares.
    TimePoint contactEnd {}; ///< Time until which this VM counts as in contact with the leader.
    std::map<std::string, Share> shares; ///< Shares by organisation.
    std::map<uint64_t, Report> reports; ///< Session requests without an answer, by request id.
};

} // namespace kingcup
