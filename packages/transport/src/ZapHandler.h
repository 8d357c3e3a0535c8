/** @file ZapHandler.h Answers ZeroMQ's authentication requests (ZAP, RFC 27) for CURVE keys. */
#pragma once

#include <set>
#include <string>
#include <vector>

#include <zmq.hpp>

namespace kingcup {

/** Accepts connections whose CURVE public key is on the allowlist. Used on one thread only. */
class ZapHandler {
public:
    /** Binds the handler in a context. Must exist before a secured socket is bound. @param allowedKeys Keys in Z85. */
    ZapHandler(zmq::context_t& context, const std::vector<std::string>& allowedKeys);

    /** Returns the socket to poll on. */
    void* handle() { return this->socket.handle(); }

    /** Answers all pending requests; the user id of a connection is its key in Z85. */
    void answerRequests();

private:
    void answer(const std::string& requestId, const std::string& key);

    zmq::socket_t socket; ///< REP socket, bound to the address that ZAP prescribes.
    std::set<std::string> allowedKeys; ///< Allowed public keys, in Z85.
};

} // namespace kingcup
