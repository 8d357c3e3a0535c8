/** @file ZapHandler.h Answers ZeroMQ's authentication requests (ZAP, RFC 27) for CURVE keys. */
#pragma once

#include <set>
#include <string>
#include <vector>

#include <zmq.hpp>

namespace kingcup {

/** Admits the connections whose CURVE public key is on a list. Used on one thread only. */
class ZapHandler {
public:
    /** Binds the handler in a context. Must exist before a secured socket is bound. @param allowedKeys Keys in Z85. */
    ZapHandler(zmq::context_t& context, const std::vector<std::string>& allowedKeys);

    /** Returns the socket to poll on. */
    void* handle() { return this->socket.handle(); }

    /** Answers all waiting requests; the user id of a connection is its key in Z85. */
    void answerRequests();

private:
    void answer(const std::string& requestId, const std::string& key);

    zmq::socket_t socket; ///< Bound to the address that ZeroMQ prescribes.
    std::set<std::string> allowedKeys; ///< In Z85.
};

} // namespace kingcup
