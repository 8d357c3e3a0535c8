/** @file UpstreamAttempt.cpp Configures a libcurl transfer and interprets its result. */
#include "UpstreamAttempt.h"

#include "HttpFraming.h"
#include "HttpText.h"
#include "SimulatedPartition.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace kingcup {

namespace {

/** Request fields that libcurl adds by default. Setting them to an empty value suppresses them. */
constexpr std::string_view suppressedDefaultFields[] = { "Accept", "Content-Type", "User-Agent" };

/** Most calls of libcurl's progress callback in a row, one after each pass over the socket, in which no byte of a header or a body has arrived or was sent. */
constexpr uint32_t maxIdleSteps = 100;

/** Receive buffer of one transfer, in bytes. */
constexpr long receiveBufferBytes = 32 << 10;

/** Returns whether the client sets a field itself, regardless of the request. */
bool isClientManagedField(std::string_view name)
{
    return equalsIgnoreCase(name, "Content-Length") || equalsIgnoreCase(name, "Expect");
}

/** Returns whether servers expect a Content-Length even without a body (RFC 9110, 8.6). */
bool requiresContentLength(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

/** Returns whole milliseconds, at least 1, because libcurl treats 0 as no limit. */
long wholeMilliseconds(Milliseconds duration)
{
    return std::max(1L, static_cast<long>(std::ceil(duration.count())));
}

} // namespace

UpstreamAttempt::UpstreamAttempt(UpstreamClient::AttemptHandle handle, UpstreamRequest attemptRequest, TimePoint attemptStart)
    : id(handle)
    , request(std::move(attemptRequest))
    , parser(this->request.method, this->request.maxHeaderBytes, this->request.acceptsUnframedAnswer)
    , startTime(attemptStart)
{
}

UpstreamAttempt::~UpstreamAttempt()
{
    curl_slist_free_all(this->relayHeaderLines);
    curl_slist_free_all(this->headerLines);
}

bool UpstreamAttempt::prepareNewConnection()
{
    this->isConnectionUnsuitable = false;
    this->openedSocket = CURL_SOCKET_BAD;
    this->forcesNewConnection = true;
    curl_slist_free_all(std::exchange(this->relayHeaderLines, nullptr));
    curl_slist_free_all(std::exchange(this->headerLines, nullptr));
    curl_easy_reset(this->curl);
    return this->prepare(this->curl, *this->keptConnections);
}

bool UpstreamAttempt::prepare(CURL* handle, KeptConnections& connections)
{
    this->curl = handle;
    this->keptConnections = &connections;
    bool isWellFormed = isToken(this->request.method) && isOriginForm(this->request.target) && this->setHeaders();
    if (!isWellFormed || this->hasDeadlinePassed()) {
        this->isInvalid = !isWellFormed;
        return false;
    }
    this->setBody();
    this->setConnection();
    curl_easy_setopt(this->curl, CURLOPT_PRIVATE, this);
    curl_easy_setopt(this->curl, CURLOPT_HTTPHEADER, this->headerLines);
    curl_easy_setopt(this->curl, CURLOPT_HEADERFUNCTION, &UpstreamAttempt::onHeaderLine);
    curl_easy_setopt(this->curl, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(this->curl, CURLOPT_WRITEFUNCTION, &UpstreamAttempt::onBodyBytes);
    curl_easy_setopt(this->curl, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(this->curl, CURLOPT_READFUNCTION, &UpstreamAttempt::onReadBody);
    curl_easy_setopt(this->curl, CURLOPT_READDATA, this);
    curl_easy_setopt(this->curl, CURLOPT_PREREQFUNCTION, &UpstreamAttempt::onBeforeSend);
    curl_easy_setopt(this->curl, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(this->curl, CURLOPT_XFERINFOFUNCTION, &UpstreamAttempt::onStep);
    curl_easy_setopt(this->curl, CURLOPT_XFERINFODATA, this);
    curl_easy_setopt(this->curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(this->curl, CURLOPT_OPENSOCKETFUNCTION, &UpstreamAttempt::onOpenSocket);
    curl_easy_setopt(this->curl, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(this->curl, CURLOPT_CLOSESOCKETFUNCTION, &UpstreamAttempt::onCloseSocket);
    curl_easy_setopt(this->curl, CURLOPT_CLOSESOCKETDATA, this->keptConnections);
    return true;
}

void UpstreamAttempt::setBody()
{
    if (this->request.method == "HEAD")
        curl_easy_setopt(this->curl, CURLOPT_NOBODY, 1L);
    else if (!this->request.hasBody)
        curl_easy_setopt(this->curl, CURLOPT_HTTPGET, 1L);
    else if (this->request.body) {
        curl_easy_setopt(this->curl, CURLOPT_POST, 1L);
        curl_easy_setopt(this->curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(this->request.body->size()));
        curl_easy_setopt(this->curl, CURLOPT_POSTFIELDS, this->request.body->data());
    } else {
        curl_off_t length = this->request.bodyLength ? static_cast<curl_off_t>(*this->request.bodyLength) : -1;
        curl_easy_setopt(this->curl, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(this->curl, CURLOPT_INFILESIZE_LARGE, length);
    }
    curl_easy_setopt(this->curl, CURLOPT_CUSTOMREQUEST, this->request.method.c_str());
}

void UpstreamAttempt::setConnection()
{
    curl_easy_setopt(this->curl, CURLOPT_URL, ("http://" + this->request.address + "/").c_str());
    curl_easy_setopt(this->curl, CURLOPT_REQUEST_TARGET, this->request.target.c_str());
    this->setRelay();
    curl_easy_setopt(this->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->curl, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(this->curl, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(this->curl, CURLOPT_BUFFERSIZE, receiveBufferBytes);
    curl_easy_setopt(this->curl, CURLOPT_CONNECTTIMEOUT_MS, wholeMilliseconds(this->request.connectTimeout));
    if (this->request.deadline != TimePoint {})
        curl_easy_setopt(this->curl, CURLOPT_TIMEOUT_MS, wholeMilliseconds(this->request.deadline - MillisecondClock::now()));
    if (!this->mayReuseConnection() || this->forcesNewConnection)
        curl_easy_setopt(this->curl, CURLOPT_FRESH_CONNECT, 1L);
    // A connection that was opened for one request would stay in libcurl's cache. Up to the size of the cache, such idle
    // connections would accumulate at the targets, and libcurl searches a full cache for the oldest one at each request.
    if (!this->mayReuseConnection())
        curl_easy_setopt(this->curl, CURLOPT_FORBID_REUSE, 1L);
}

bool UpstreamAttempt::mayReuseConnection() const
{
    // A target may drop an idle connection without notice. A request that must not be repeated would be lost on it, with an unknown
    // outcome. A streamed body cannot be sent a second time at all.
    bool isStreamed = this->request.hasBody && !this->request.body;
    bool isLimited = this->request.maxConnectionIdle.count() > 0 && !this->request.relay;
    return !isStreamed && !this->request.connectsOnly && (this->request.isRepeatable || isLimited);
}

bool UpstreamAttempt::mayUseConnection(int localPort)
{
    long newConnections = 0;
    curl_easy_getinfo(this->curl, CURLINFO_NUM_CONNECTS, &newConnections);
    if (newConnections > 0) {
        this->keptConnections->recordSocket(localPort, this->openedSocket);
        return true;
    }
    if (this->keptConnections->hasUnreadBytes(localPort))
        return false;
    return this->request.isRepeatable || this->keptConnections->wasUsedWithin(localPort, this->request.maxConnectionIdle, MillisecondClock::now());
}

void UpstreamAttempt::setRelay()
{
    if (!this->request.relay) {
        curl_easy_setopt(this->curl, CURLOPT_PROXY, "");
        return;
    }
    this->relayHeaderLines = curl_slist_append(nullptr, ("Proxy-Authorization: Bearer " + this->request.relay->token).c_str());
    curl_easy_setopt(this->curl, CURLOPT_PROXY, ("http://" + this->request.relay->address).c_str());
    curl_easy_setopt(this->curl, CURLOPT_HTTPPROXYTUNNEL, 1L);
    curl_easy_setopt(this->curl, CURLOPT_PROXYHEADER, this->relayHeaderLines);
    curl_easy_setopt(this->curl, CURLOPT_HEADEROPT, static_cast<long>(CURLHEADER_SEPARATE));
    curl_easy_setopt(this->curl, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
}

RelayFailure UpstreamAttempt::relayFailure() const
{
    constexpr long statusBadGateway = 502;
    constexpr long statusGatewayTimeout = 504;
    if (!this->request.relay || this->isConnected || !this->curl)
        return RelayFailure::None;
    long status = 0;
    curl_easy_getinfo(this->curl, CURLINFO_HTTP_CONNECTCODE, &status);
    if (status == 0)
        return RelayFailure::Unreachable;
    return status == statusBadGateway || status == statusGatewayTimeout ? RelayFailure::None : RelayFailure::Refused;
}

bool UpstreamAttempt::setHeaders()
{
    const HttpHeaders& headers = this->request.headers;
    std::string_view connectionValue = headers.find("Connection").value_or("");
    for (const HttpHeader& field : headers.fields) {
        if (!isToken(field.name) || !isFieldValue(field.value))
            return false;
        if (isHopByHop(field.name, connectionValue) || isClientManagedField(field.name))
            continue;
        // libcurl drops a field with an empty value unless the name ends with a semicolon.
        this->addHeaderLine(field.value.empty() ? field.name + ";" : field.name + ": " + field.value);
    }
    for (std::string_view name : suppressedDefaultFields) {
        if (!headers.find(name))
            this->addHeaderLine(std::string(name) + ":");
    }
    this->addHeaderLine("Expect:");
    if (!this->request.hasBody && requiresContentLength(this->request.method))
        this->addHeaderLine("Content-Length: 0");
    return true;
}

void UpstreamAttempt::addHeaderLine(const std::string& line)
{
    this->headerLines = curl_slist_append(this->headerLines, line.c_str());
}

size_t UpstreamAttempt::onHeaderLine(char* bytes, size_t size, size_t count, void* self)
{
    bool isAccepted = static_cast<UpstreamAttempt*>(self)->processHeaderLine({ bytes, size * count });
    return isAccepted ? size * count : 0;
}

bool UpstreamAttempt::processHeaderLine(std::string_view line)
{
    this->receivedHeaderBytes += line.size();
    if (this->parser.complete()) {
        // Trailer fields are not forwarded.
        this->receivedTrailerBytes += line.size();
        this->isInvalid = this->receivedTrailerBytes > this->request.maxHeaderBytes;
        return !this->isInvalid;
    }
    if (!this->parser.hasReceivedBytes())
        this->firstByteTime = MillisecondClock::now();
    AnswerParser::Progress progress = this->parser.parseLine(line);
    bool isUnexpected = progress == AnswerParser::Progress::Complete && this->request.isExpectedAnswer && !this->request.isExpectedAnswer(this->parser.head());
    this->isInvalid = isUnexpected || progress == AnswerParser::Progress::Invalid;
    if (this->isInvalid)
        return false;
    if (progress != AnswerParser::Progress::Complete)
        return true;
    if (this->request.mayKeepConnection && !this->request.mayKeepConnection(this->parser.head())) {
        this->closesConnection = true;
        curl_easy_setopt(this->curl, CURLOPT_FORBID_REUSE, 1L);
    }
    if (this->request.onHead)
        this->request.onHead(this->parser.head());
    return true;
}

size_t UpstreamAttempt::onBodyBytes(char* bytes, size_t size, size_t count, void* self)
{
    auto* attempt = static_cast<UpstreamAttempt*>(self);
    if (attempt->isReceivingPaused)
        return CURL_WRITEFUNC_PAUSE;
    attempt->receivedBodyBytes += size * count;
    if (attempt->request.onData)
        attempt->isReceivingPaused = !attempt->request.onData({ bytes, size * count });
    return size * count;
}

size_t UpstreamAttempt::onReadBody(char* buffer, size_t size, size_t count, void* self)
{
    return static_cast<UpstreamAttempt*>(self)->readBody(buffer, size * count);
}

size_t UpstreamAttempt::readBody(char* buffer, size_t size)
{
    int given = this->request.bodySource ? this->request.bodySource(buffer, size) : bodyAbort;
    if (given == bodyPause) {
        this->isSendingPaused = true;
        return CURL_READFUNC_PAUSE;
    }
    this->sentBodyBytes += static_cast<uint64_t>(std::max(given, 0));
    // A body shorter than announced must not result in a complete request.
    bool isTooShort = given == 0 && this->sentBodyBytes < this->request.bodyLength.value_or(0);
    bool isTooLong = this->request.bodyLength && this->sentBodyBytes > *this->request.bodyLength;
    if (given < 0 || isTooShort || isTooLong) {
        this->isBodyAborted = true;
        return CURL_READFUNC_ABORT;
    }
    return static_cast<size_t>(given);
}

int UpstreamAttempt::onBeforeSend(void* self, char*, char*, int, int localPort)
{
    auto* attempt = static_cast<UpstreamAttempt*>(self);
    attempt->isConnectionUnsuitable = !attempt->isConnected && !attempt->mayUseConnection(localPort);
    if (attempt->isConnectionUnsuitable)
        return CURL_PREREQFUNC_ABORT;
    attempt->connectionPort = localPort;
    // libcurl would send a request again, to the same target, when a reused connection was lost before an answer. That
    // would hide from crash containment that the target was lost while it ran this request.
    if (std::exchange(attempt->isConnected, true) || attempt->request.connectsOnly)
        return CURL_PREREQFUNC_ABORT;
    attempt->isSendRefused = attempt->request.maySend && !attempt->request.maySend();
    if (attempt->isSendRefused)
        return CURL_PREREQFUNC_ABORT;
    attempt->maybeSent = true;
    return CURL_PREREQFUNC_OK;
}

int UpstreamAttempt::onStep(void* self, curl_off_t, curl_off_t, curl_off_t, curl_off_t sentBytes)
{
    auto* attempt = static_cast<UpstreamAttempt*>(self);
    uint64_t passedBytes = attempt->receivedHeaderBytes + attempt->receivedBodyBytes + static_cast<uint64_t>(sentBytes);
    bool hasProgress = passedBytes != std::exchange(attempt->passedBytes, passedBytes) || attempt->isReceivingPaused || attempt->isSendingPaused;
    attempt->idleSteps = hasProgress ? 0 : attempt->idleSteps + 1;
    // libcurl skips some bytes without a limit, such as those of a chunk extension.
    attempt->isInvalid = attempt->isInvalid || attempt->idleSteps > maxIdleSteps;
    return attempt->isInvalid ? 1 : 0;
}

curl_socket_t UpstreamAttempt::onOpenSocket(void* self, curlsocktype, curl_sockaddr* address)
{
    auto* attempt = static_cast<UpstreamAttempt*>(self);
    bool mayDivert = isPartitionSimulated() && !attempt->request.relay;
    if (std::optional<SocketAddress> other = mayDivert ? simulatedDestination() : std::nullopt; other && other->size() <= sizeof(address->addr)) {
        std::memcpy(&address->addr, other->data(), other->size());
        address->addrlen = other->size();
    }
    attempt->openedSocket = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    return attempt->openedSocket;
}

int UpstreamAttempt::onCloseSocket(void* connections, curl_socket_t socket)
{
    static_cast<KeptConnections*>(connections)->forgetSocket(socket);
    return close(socket);
}

void UpstreamAttempt::resumeReceiving()
{
    if (std::exchange(this->isReceivingPaused, false))
        this->applyPauseState();
}

void UpstreamAttempt::resumeSending()
{
    if (std::exchange(this->isSendingPaused, false))
        this->applyPauseState();
}

void UpstreamAttempt::applyPauseState()
{
    int paused = (this->isReceivingPaused ? CURLPAUSE_RECV : 0) | (this->isSendingPaused ? CURLPAUSE_SEND : 0);
    curl_easy_pause(this->curl, paused);
}

bool UpstreamAttempt::hasDeadlinePassed() const
{
    return this->request.deadline != TimePoint {} && MillisecondClock::now() >= this->request.deadline;
}

UpstreamOutcome UpstreamAttempt::outcomeOf(CURLcode code) const
{
    if (this->isBodyAborted || this->isSendRefused)
        return UpstreamOutcome::Cancelled;
    if (this->request.connectsOnly)
        return this->isConnected ? UpstreamOutcome::Complete : UpstreamOutcome::ConnectFailed;
    if (this->isInvalid || code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY)
        return UpstreamOutcome::Invalid;
    if (code == CURLE_OK && this->parser.complete())
        return UpstreamOutcome::Complete;
    if (code == CURLE_OPERATION_TIMEDOUT && (this->maybeSent || this->hasDeadlinePassed()))
        return UpstreamOutcome::TimedOut;
    if (!this->maybeSent)
        return UpstreamOutcome::ConnectFailed;
    return this->parser.hasReceivedBytes() ? UpstreamOutcome::Truncated : UpstreamOutcome::ConnectionLost;
}

void UpstreamAttempt::end(CURLcode code)
{
    if (this->connectionPort && code == CURLE_OK && this->mayReuseConnection() && !this->closesConnection)
        this->keptConnections->recordUse(this->connectionPort, MillisecondClock::now());
    else if (this->connectionPort)
        this->keptConnections->forget(this->connectionPort);
    this->endWith(this->outcomeOf(code));
}

void UpstreamAttempt::endWith(UpstreamOutcome outcome)
{
    UpstreamResult result;
    long connections = 0;
    if (this->curl)
        curl_easy_getinfo(this->curl, CURLINFO_NUM_CONNECTS, &connections);
    result.outcome = outcome;
    result.maybeSent = this->maybeSent;
    result.duration = MillisecondClock::now() - this->startTime;
    if (this->firstByteTime != TimePoint {})
        result.timeToFirstByte = this->firstByteTime - this->startTime;
    result.newConnection = connections > 0;
    result.isConnected = this->isConnected;
    result.relayFailure = this->relayFailure();
    if (this->request.onEnd)
        this->request.onEnd(result);
}

} // namespace kingcup
