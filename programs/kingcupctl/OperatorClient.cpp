/** @file OperatorClient.cpp Sends HTTP requests through libcurl's easy interface. */
#include "OperatorClient.h"

#include <algorithm>
#include <curl/curl.h>
#include <memory>
#include <thread>

namespace kingcup {

namespace {

constexpr size_t maxAnswerBytes = 64u << 20; ///< A transfer with a larger body fails.
constexpr Milliseconds minAttemptTimeout { 500 }; ///< Lower bound of the timeout of one attempt, so that a long list of VMs still leaves each enough time to answer.
constexpr Milliseconds maxConnectTimeout { 1000 }; ///< If a VM does not accept the connection within this time, the next one is tried.
constexpr Milliseconds pauseBetweenRounds { 200 }; ///< Pause after all VMs were tried; a group without a leader needs longer than one round to elect one.

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlHeaders = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

/** Write callback of curl that appends received bytes to a string. Returns 0 beyond the size limit, which aborts the transfer. */
size_t appendReceived(char* data, size_t size, size_t count, void* userData)
{
    std::string& text = *static_cast<std::string*>(userData);
    if (text.size() + size * count > maxAnswerBytes)
        return 0;
    text.append(data, size * count);
    return size * count;
}

/** Sets the options that all requests share. Proxies from the environment are ignored, and redirects are not followed. */
void setCommonOptions(CURL* curl, const std::string& url, Milliseconds timeout, std::string& received)
{
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, std::max(1L, static_cast<long>(timeout.count())));
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, std::max(1L, static_cast<long>(std::min(timeout, maxConnectTimeout).count())));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendReceived);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &received);
}

/** Parses the body of an HTTP answer. A body that is not a JSON object, or that holds an unknown result code, leaves the result Unreachable. */
void parseAnswer(const std::string& text, long status, OperatorAnswer& answer)
{
    answer.body = nlohmann::json::parse(text, nullptr, false);
    if (!answer.body.is_object()) {
        answer.body = nullptr;
        answer.detail = "HTTP status " + std::to_string(status) + " without a JSON object in the body";
        return;
    }
    auto code = answer.body.find("code");
    bool hasCode = code != answer.body.end() && code->is_number_integer();
    int number = hasCode ? code->get<int>() : static_cast<int>(status == 200 ? ResultCode::Ok : ResultCode::Unreachable);
    std::span<const ResultCodeRow> rows = resultCodeTable();
    bool isKnown = std::any_of(rows.begin(), rows.end(), [&](const ResultCodeRow& row) { return static_cast<int>(row.code) == number; });
    answer.code = isKnown ? static_cast<ResultCode>(number) : ResultCode::Unreachable;
    auto detail = answer.body.find("detail");
    bool hasDetail = detail != answer.body.end() && detail->is_string() && !detail->get_ref<const std::string&>().empty();
    answer.detail = hasDetail ? detail->get<std::string>() : std::string(resultCodeRow(answer.code).text);
}

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> vmAddresses, std::string token, Milliseconds timeout)
    : vmAddresses(std::move(vmAddresses))
    , token(std::move(token))
    , timeout(timeout)
    , endTime(MillisecondClock::now() + timeout)
{
}

OperatorAnswer OperatorClient::send(const std::string& path, const std::string& body, ResendRule rule)
{
    Milliseconds attemptTimeout = std::max(minAttemptTimeout, this->timeout / static_cast<double>(this->vmAddresses.size()));
    Attempt attempt;
    for (;;) {
        for (size_t i = 0; i < this->vmAddresses.size(); i++) {
            Milliseconds remaining = this->endTime - MillisecondClock::now();
            if (remaining <= Milliseconds(0))
                return attempt.answer;
            attempt = this->sendTo(this->vmAddresses[i], path, body, std::min(attemptTimeout, remaining));
            bool isDecided = !resultCodeRow(attempt.answer.code).hasRetryAfter;
            if (isDecided)
                std::rotate(this->vmAddresses.begin(), this->vmAddresses.begin() + static_cast<ptrdiff_t>(i), this->vmAddresses.end());
            if (isDecided || (rule == ResendRule::OnlyIfUnsent && attempt.hasConnected))
                return attempt.answer;
        }
        if (MillisecondClock::now() + pauseBetweenRounds >= this->endTime)
            return attempt.answer;
        std::this_thread::sleep_for(pauseBetweenRounds);
    }
}

OperatorClient::Attempt OperatorClient::sendTo(const std::string& vmAddress, const std::string& path, const std::string& body, Milliseconds timeout) const
{
    Attempt attempt;
    attempt.answer.vmAddress = vmAddress;
    CurlHandle curl(curl_easy_init(), curl_easy_cleanup);
    std::string url = "http://" + vmAddress + path;
    std::string authorization = "Authorization: Bearer " + this->token;
    std::string received;
    CurlHeaders headers(curl_slist_append(nullptr, authorization.c_str()), curl_slist_free_all);
    curl_slist_append(headers.get(), "Content-Type: application/json");
    setCommonOptions(curl.get(), url, timeout, received);
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    if (!body.empty()) {
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    }
    CURLcode result = curl_easy_perform(curl.get());
    double connectSeconds = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_CONNECT_TIME, &connectSeconds);
    attempt.hasConnected = connectSeconds > 0;
    if (result != CURLE_OK) {
        attempt.answer.detail = curl_easy_strerror(result);
        return attempt;
    }
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    parseAnswer(received, status, attempt.answer);
    return attempt;
}

} // namespace kingcup
