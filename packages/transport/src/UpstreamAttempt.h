/** @file UpstreamAttempt.h One transfer of libcurl. */
#pragma once

#include "AnswerParser.h"
#include "kingcup/UpstreamClient.h"

#include <curl/curl.h>
#include <string>

namespace kingcup {

/** An attempt on its event loop. All functions run on the loop's thread. */
class UpstreamAttempt {
public:
    UpstreamAttempt(UpstreamClient::AttemptHandle handle, UpstreamRequest request, TimePoint startTime);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    /** Sets all options of the transfer. Returns false if the request is malformed or its deadline has passed; nothing is sent then. */
    bool prepare(CURL* handle);

    /** Goes on receiving. */
    void resumeReceiving();

    /** Goes on sending. */
    void resumeSending();

    /** Calls onEnd after libcurl ended the transfer. */
    void end(CURLcode code);

    /** Calls onEnd with a given outcome. */
    void endWith(UpstreamOutcome outcome);

    CURL* easy() const { return this->curl; } ///< Transfer, null before prepare().
    UpstreamClient::AttemptHandle handle() const { return this->id; } ///< Name.

private:
    // Callbacks of libcurl; `self` is the attempt.
    static size_t onHeaderLine(char* bytes, size_t size, size_t count, void* self);
    static size_t onBodyBytes(char* bytes, size_t size, size_t count, void* self);
    static size_t onReadBody(char* buffer, size_t size, size_t count, void* self);
    static int onBeforeSend(void* self, char* primaryAddress, char* localAddress, int primaryPort, int localPort);

    /** Takes a header line. Returns false to end the transfer. */
    bool takeHeaderLine(std::string_view line);

    /** Returns body bytes or a code of libcurl's read callback. */
    size_t readBody(char* buffer, size_t size);

    /** Sets method, body and framing. */
    void setBody();

    /** Sets limits, deadlines and connection rules. */
    void setConnection();

    /** Builds the list of header fields. Returns false if one is malformed. */
    bool setHeaders();

    /** Adds one line to the list of header fields. */
    void addHeaderLine(const std::string& line);

    /** Tells libcurl which directions are paused. */
    void applyPauses();

    /** Returns whether the deadline has passed. */
    bool isLate() const;

    /** Returns how the transfer ended. */
    UpstreamOutcome outcomeOf(CURLcode code) const;

    UpstreamClient::AttemptHandle id = 0; ///< Name.
    UpstreamRequest request; ///< As given.
    AnswerParser parser; ///< Header of the answer.
    TimePoint startTime; ///< Of start().
    TimePoint firstByteTime {}; ///< Of the answer.
    CURL* curl = nullptr; ///< Owned by the loop.
    curl_slist* headerLines = nullptr; ///< Owned.
    uint64_t sentBodyBytes = 0; ///< Given to libcurl.
    uint64_t receivedBodyBytes = 0; ///< Given to onData.
    bool maybeSent = false; ///< A connection was ready to take the request.
    bool invalid = false; ///< The answer is malformed.
    bool bodyAborted = false; ///< The source of the body broke off.
    bool receivingPaused = false; ///< onData returned false.
    bool sendingPaused = false; ///< bodySource returned bodyPause.
};

} // namespace kingcup
