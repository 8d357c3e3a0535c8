/** @file TestAttempt.h An attempt of the upstream client that records what its callbacks report. */
#pragma once

#include "RawSocket.h"
#include "kingcup/UpstreamClient.h"

#include <functional>
#include <gtest/gtest.h>
#include <string>

namespace kingcup::testing {

/** Values that the callbacks of an attempt reported. */
struct Report {
    HttpAnswerHead head; ///< From onHead.
    std::string data; ///< From onData.
    int ends = 0; ///< Calls of onEnd.
    UpstreamResult result; ///< From onEnd.
};

/** An attempt and its report. */
class Attempt {
public:
    Attempt(UpstreamClient& usedClient, const std::string& address, const std::function<void(UpstreamRequest&)>& change = {})
        : client(usedClient)
    {
        UpstreamRequest request;
        request.address = address;
        request.method = "GET";
        request.target = "/";
        request.deadline = MillisecondClock::now() + Milliseconds(waitLimitMs);
        request.onHead = [this](const HttpAnswerHead& head) { this->report.update([&](Report& seen) { seen.head = head; }); };
        request.onData = [this](std::string_view bytes) {
            this->report.update([&](Report& seen) { seen.data += bytes; });
            return true;
        };
        request.onEnd = [this](const UpstreamResult& result) {
            this->report.update([&](Report& seen) { seen.result = result, ++seen.ends; });
        };
        if (change)
            change(request);
        this->handle = usedClient.start(std::move(request));
    }

    /** Waits for the end. */
    Report wait()
    {
        EXPECT_TRUE(this->report.wait([](const Report& seen) { return seen.ends > 0; }));
        return this->report.get();
    }

    UpstreamClient& client; ///< Runs the attempt.
    WaitableValue<Report> report; ///< Values reported so far.
    UpstreamClient::AttemptHandle handle; ///< Identifier of the attempt.
};

} // namespace kingcup::testing
