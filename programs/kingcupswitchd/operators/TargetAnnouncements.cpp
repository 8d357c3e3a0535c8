/** @file TargetAnnouncements.cpp Parsing and batching of the announcements of targets. */
#include "TargetAnnouncements.h"

#include "kingcup/JsonFields.h"
#include "kingcup/JsonLog.h"
#include "kingcup/TargetStates.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace kingcup {

namespace {

constexpr Milliseconds batchInterval { 1000 };
constexpr Milliseconds batchTimeout { 900 }; ///< Below batchInterval: the next batch supersedes one that was not answered.
constexpr Milliseconds confirmationLifetime { 2000 }; ///< Time after an accepted batch during which repetitions are confirmed without waiting for the leader.
constexpr Milliseconds departureTimeout { 900 }; ///< Targets retry at another VM after 1 s, so this VM answers before that.
constexpr size_t maxNameBytes = 255;
constexpr uint32_t maxSlots = 100000;
constexpr uint64_t maxColdMs = 3600000;

/** Returns a text field; empty if it is missing, too long or not a text. */
std::string nameField(const nlohmann::json& object, const char* name)
{
    std::string text = textField(object, name);
    return text.size() <= maxNameBytes ? text : std::string();
}

/** Returns whether a text consists of digits and dots, a colon, and a port in digits. Ranges are not checked. */
bool isHostAndPort(const std::string& text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
        return false;
    bool isHostValid = text.find_first_not_of("0123456789.") >= colon;
    bool isPortValid = text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
    return isHostValid && isPortValid;
}

/** Wraps a callback so that the answer is logged with the time since this call before the callback runs. */
TargetAnnouncements::Done withAnswerLog(const wire::TargetRecord& target, bool isRepetition, TargetAnnouncements::Done done)
{
    nlohmann::json fields = targetFields(target);
    fields["repetition"] = isRepetition;
    return [fields = std::move(fields), done = std::move(done), received = MillisecondClock::now()](bool isAccepted) mutable {
        fields["taken"] = isAccepted;
        fields["waitedMs"] = std::round((MillisecondClock::now() - received).count());
        logLine(LogLevel::Info, "announcement_answered", fields);
        done(isAccepted);
    };
}

} // namespace

std::variant<wire::TargetLoad, std::string> parseAnnouncement(std::string_view json)
{
    nlohmann::json object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object())
        return std::string("not a JSON object");
    wire::TargetLoad load;
    wire::TargetRecord* target = load.mutable_target();
    target->set_service(nameField(object, "service"));
    target->set_address(nameField(object, "address"));
    target->set_availability_zone(nameField(object, "availabilityZone"));
    if (target->service().empty())
        return std::string("/service: must be a non-empty text of at most 255 bytes");
    if (!isHostAndPort(target->address()))
        return std::string("/address: must be IP:port");
    std::optional<wire::TargetState> state = valueOf(targetStateNames, nameField(object, "state"));
    if (!state)
        return std::string("/state: must be starting, serving, draining or gone");
    target->set_state(*state);
    uint64_t slots = numberField(object, "slots");
    uint64_t incarnation = numberField(object, "incarnation");
    if (slots == 0 || slots > maxSlots)
        return std::string("/slots: must be a whole number from 1 to 100000");
    if (incarnation == 0)
        return std::string("/incarnation: must be a whole number above 0");
    target->set_slots(static_cast<uint32_t>(slots));
    target->set_incarnation(incarnation);
    load.set_cold_left_ms(static_cast<uint32_t>(std::min<uint64_t>(numberField(object, "coldLeftMs"), maxColdMs)));
    load.set_in_flight(static_cast<uint32_t>(std::min<uint64_t>(numberField(object, "inFlight"), maxSlots)));
    auto latency = object.find("latencyMs");
    if (latency != object.end() && latency->is_number())
        load.set_latency_ms(latency->get<double>());
    return load;
}

TargetAnnouncements::TargetAnnouncements(LeaderClient& leaderClient, DigestHook digestHook)
    : leaderClient(leaderClient)
    , digestHook(std::move(digestHook))
{
}

void TargetAnnouncements::add(wire::TargetLoad load, const Done& done)
{
    TimePoint now = MillisecondClock::now();
    bool isConfirmed = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        Key key(load.target().service(), load.target().address());
        AnnouncedState state { load.target().incarnation(), load.target().instance(), load.target().state() };
        auto known = this->sentStates.find(key);
        bool isRepetition = known != this->sentStates.end() && known->second == state;
        isConfirmed = isRepetition && now - this->lastAcceptedTime < confirmationLifetime;
        this->isBatchUrgent = this->isBatchUrgent || !isConfirmed;
        if (!isConfirmed)
            this->pendingCallbacks.push_back(withAnswerLog(load.target(), isRepetition, done));
        PendingAnnouncement& entry = this->pendingAnnouncements[key];
        if (entry.load.target().incarnation() <= load.target().incarnation()) {
            entry.load = std::move(load);
            entry.receivedTime = now;
        }
    }
    if (isConfirmed)
        done(true);
}

void TargetAnnouncements::addDeparture(wire::TargetRecord target, std::function<void(ResultCode)> done)
{
    wire::Command command;
    *command.mutable_change_target()->mutable_target() = std::move(target);
    command.mutable_change_target()->set_left(command.change_target().target().state() == wire::TARGET_GONE);
    this->leaderClient.sendCommand(std::move(command), departureTimeout, [done = std::move(done)](const wire::CommandResult& result) {
        done(static_cast<ResultCode>(result.result_code()));
    });
}

void TargetAnnouncements::tick(TimePoint now)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        bool isDue = this->isBatchUrgent || now >= this->nextBatchTime;
        if (!isDue || this->pendingAnnouncements.empty())
            return;
        this->isBatchUrgent = false;
        this->nextBatchTime = now + batchInterval;
    }
    this->sendBatch(now);
}

/** Sends all stored announcements as one batch. If the leader does not accept it, the next announcement of each of its targets counts as a change again. */
void TargetAnnouncements::sendBatch(TimePoint now)
{
    wire::Envelope envelope;
    std::vector<Key> keys;
    std::vector<Done> callbacks;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (auto& [key, entry] : this->pendingAnnouncements) {
            entry.load.set_age_ms(static_cast<uint32_t>((now - entry.receivedTime).count()));
            *envelope.mutable_heartbeat_batch()->add_targets() = entry.load;
            this->sentStates[key] = { entry.load.target().incarnation(), entry.load.target().instance(), entry.load.target().state() };
            keys.push_back(key);
        }
        this->pendingAnnouncements.clear();
        callbacks.swap(this->pendingCallbacks);
    }
    this->leaderClient.sendRequest(std::move(envelope), batchTimeout, [this, keys, callbacks](ResultCode code, const wire::Envelope& answer) {
        bool isAccepted = code == ResultCode::Ok && answer.has_heartbeat_answer() && answer.heartbeat_answer().result_code() == 0;
        if (isAccepted) {
            const auto& digest = answer.heartbeat_answer().digest();
            this->digestHook({ digest.begin(), digest.end() });
        }
        this->handleBatchAnswer(keys, callbacks, isAccepted);
    });
}

/** Records whether the leader accepted a batch and calls the callbacks of its announcements. */
void TargetAnnouncements::handleBatchAnswer(const std::vector<Key>& keys, const std::vector<Done>& callbacks, bool isAccepted)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (isAccepted)
            this->lastAcceptedTime = MillisecondClock::now();
        for (const Key& key : keys) {
            if (!isAccepted)
                this->sentStates.erase(key);
        }
    }
    for (const Done& done : callbacks)
        done(isAccepted);
}

} // namespace kingcup
