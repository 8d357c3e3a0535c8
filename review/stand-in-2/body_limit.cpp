/** @file body_limit.cpp A new desired state raises the largest body that clients may send. */
#include "CaseKit.h"

using namespace review;

namespace {

constexpr uint64_t lowLimit = 8u << 20; ///< MaxBodyBytes of the first desired state.
constexpr uint64_t highLimit = 64u << 20; ///< MaxBodyBytes of the second one, as in the example of the pages.
constexpr size_t smallBody = 6u << 20; ///< Allowed by both.
constexpr size_t largeBody = 24u << 20; ///< Allowed by the second one only.
constexpr int requestCount = 40;
constexpr int allowedRefusals = 5; ///< Five, and one in 500 of all requests.

int play(Provider& provider, Record& record)
{
    std::vector<std::unique_ptr<Server>> servers;
    if (std::string error = startAll(provider, servers, desiredState(7, lowLimit), record); !error.empty()) {
        record.write(error);
        return exitNotRun;
    }
    if (hasTrouble()) {
        constexpr double configApply = 2;
        constexpr double margin = 2;
        if (putDesiredState(provider, desiredState(12, highLimit), 20, 2, record) != 200)
            return exitNotRun;
        sleepFor(configApply + margin);
    }
    std::string body(hasTrouble() ? largeBody : smallBody, 'x');
    int refused = 0;
    int served = 0;
    for (int number = 0; number < requestCount; ++number) {
        Machine& front = *provider.fronts[static_cast<size_t>(number) % provider.fronts.size()];
        std::string attempt = newAttempt();
        Message answer = sendRequest(front, "POST", "/post/upload", attempt, 4000, body);
        record.write("client: " + attempt + " with a body of " + std::to_string(body.size()) + " bytes to " + front.name + ": " + std::to_string(answer.status) + " " + answer.body.substr(0, 120));
        refused += answer.status >= 300 && answer.status < 500 && answer.status != 408 && answer.status != 421 && answer.status != 429 ? 1 : 0;
        served += answer.status == 200 ? 1 : 0;
    }
    record.write(std::to_string(served) + " requests were served, " + std::to_string(refused) + " were ended with a 3xx or 4xx");
    for (auto& server : servers)
        server->stopBeating();
    if (!refused && served < requestCount / 2)
        return exitNotRun;
    return refused > allowedRefusals + requestCount / 500 ? exitBroken : exitHeld;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    return runCase(argumentCount, arguments, 2, { { "Bounds.RetryBudgetRatio", "0.2" }, { "Bounds.RetrySlack", "60" }, { "Bounds.RetryWindow", "10" }, { "Bounds.ProbesPerS", "60" }, { "Bounds.Grace", "6" } }, play);
}
