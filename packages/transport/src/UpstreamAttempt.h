/** @file UpstreamAttempt.h One libcurl transfer. */
#pragma once

#include "AnswerParser.h"
#include "KeptConnections.h"
#include "kingcup/UpstreamClient.h"

#include <curl/curl.h>
#include <string>

namespace kingcup {

/** One attempt, run as a libcurl transfer. All functions run on the thread of its event loop. */
class UpstreamAttempt {
public:
    UpstreamAttempt(UpstreamClient::AttemptHandle handle, UpstreamRequest request, TimePoint startTime);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    /**
     * Sets all options of the transfer. Returns false if the request is malformed or its deadline has passed; nothing is sent then.
     * @param connections Connections of the event loop; must outlive them.
     */
    bool prepare(CURL* handle, KeptConnections& connections);

    /** Returns whether the transfer ended before anything was sent, because libcurl chose a connection that the request must not use. */
    bool needsNewConnection() const { return this->isConnectionUnsuitable; }

    /** Sets all options again, with a new connection, after a transfer for which needsNewConnection() holds. Returns false like prepare(). */
    bool prepareNewConnection();

    /** Continues receiving after onData returned false. */
    void resumeReceiving();

    /** Continues sending after bodySource returned bodyPause. */
    void resumeSending();

    /** Calls onEnd with the outcome that follows from the result of the transfer. */
    void end(CURLcode code);

    /** Calls onEnd with a given outcome. */
    void endWith(UpstreamOutcome outcome);

    CURL* easyHandle() const { return this->curl; } ///< Transfer handle; null before prepare().
    UpstreamClient::AttemptHandle handle() const { return this->id; } ///< Identifier of the attempt.

private:
    // Callbacks of libcurl; `self` is the attempt.
    static size_t onHeaderLine(char* bytes, size_t size, size_t count, void* self);
    static size_t onBodyBytes(char* bytes, size_t size, size_t count, void* self);
    static size_t onReadBody(char* buffer, size_t size, size_t count, void* self);
    static curl_socket_t onOpenSocket(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int onCloseSocket(void* connections, curl_socket_t socket); ///< `connections` are those of the event loop.
    static int onStep(void* self, curl_off_t downloadSize, curl_off_t downloadedBytes, curl_off_t uploadSize, curl_off_t sentBytes);
    static int onBeforeSend(void* self, char* primaryAddress, char* localAddress, int primaryPort, int localPort);

    /** Processes a header line. Returns false to abort the transfer. */
    bool processHeaderLine(std::string_view line);

    /** Returns body bytes or a code of libcurl's read callback. */
    size_t readBody(char* buffer, size_t size);

    /** Sets method, body and framing. */
    void setBody();

    /** Sets limits, deadlines and connection rules. */
    void setConnection();

    /** Sets the relay, or a direct connection. */
    void setRelay();

    /** Returns the failure of the relay, if there is one. */
    RelayFailure relayFailure() const;

    /** Returns whether the request may be sent on the connection that libcurl has chosen. @param localPort Port of the connection on this VM. */
    bool mayUseConnection(int localPort);

    /** Returns whether the request may be sent on a kept connection. */
    bool mayReuseConnection() const;

    /** Builds the list of header fields. Returns false if one is malformed. */
    bool setHeaders();

    /** Adds one line to the list of header fields. */
    void addHeaderLine(const std::string& line);

    /** Applies the pause state of both directions to the transfer. */
    void applyPauseState();

    /** Returns whether the deadline has passed. */
    bool hasDeadlinePassed() const;

    /** Returns how the transfer ended. */
    UpstreamOutcome outcomeOf(CURLcode code) const;

    UpstreamClient::AttemptHandle id = 0; ///< Identifier of the attempt.
    UpstreamRequest request; ///< Request passed by the user of the client.
    AnswerParser parser; ///< Parses the header of the answer.
    TimePoint startTime; ///< Time at which start() was called.
    TimePoint firstByteTime {}; ///< Time of the first byte of the answer; TimePoint {} before it.
    CURL* curl = nullptr; ///< Transfer handle, owned by the loop.
    KeptConnections* keptConnections = nullptr; ///< Set by prepare().
    int connectionPort = 0; ///< Local port of the connection; 0 before it is chosen.
    curl_socket_t openedSocket = CURL_SOCKET_BAD; ///< Socket of the connection that was opened for the attempt.
    bool isConnectionUnsuitable = false; ///< The chosen connection has been idle for too long or has unread bytes.
    bool forcesNewConnection = false; ///< A kept connection was not suitable.
    curl_slist* relayHeaderLines = nullptr; ///< Header lines for the relay, owned by the attempt.
    curl_slist* headerLines = nullptr; ///< List of header lines, owned by the attempt.
    uint64_t sentBodyBytes = 0; ///< Body bytes passed to libcurl.
    uint64_t receivedHeaderBytes = 0; ///< Bytes of header and trailer lines.
    uint64_t receivedTrailerBytes = 0; ///< Bytes of trailer lines.
    uint64_t passedBytes = 0; ///< Bytes of headers and bodies in both directions at the last call of the progress callback.
    uint32_t idleSteps = 0; ///< Consecutive calls of the progress callback in which `passedBytes` did not change.
    uint64_t receivedBodyBytes = 0; ///< Body bytes passed to onData.
    bool isConnected = false; ///< A connection was ready to take the request.
    bool maybeSent = false; ///< The request may have been sent on it.
    bool isInvalid = false; ///< The answer is malformed.
    bool isSendRefused = false; ///< maySend returned false.
    bool isBodyAborted = false; ///< The body source failed or did not match the announced length.
    bool closesConnection = false; ///< mayKeepConnection returned false.
    bool isReceivingPaused = false; ///< onData returned false.
    bool isSendingPaused = false; ///< bodySource returned bodyPause.
};

} // namespace kingcup
