/** @file ZapHandler.cpp Implementation of the ZAP handler. */
#include "ZapHandler.h"

#include <array>

#include <zmq_addon.hpp>

namespace kingcup {

namespace {

constexpr size_t binaryKeyBytes = 32;
constexpr size_t encodedKeyBytes = 40;
constexpr size_t requestFrameCount = 7; ///< Version, request id, domain, address, identity, mechanism, key.

/** Returns a binary key in Z85; empty if its length is wrong. */
std::string encodeKey(const zmq::message_t& key)
{
    if (key.size() != binaryKeyBytes)
        return {};
    std::array<char, encodedKeyBytes + 1> text {};
    zmq_z85_encode(text.data(), static_cast<const uint8_t*>(key.data()), key.size());
    return text.data();
}

} // namespace

ZapHandler::ZapHandler(zmq::context_t& context, const std::vector<std::string>& allowedKeys)
    : socket(context, zmq::socket_type::rep)
    , allowedKeys(allowedKeys.begin(), allowedKeys.end())
{
    this->socket.set(zmq::sockopt::linger, 0);
    this->socket.bind("inproc://zeromq.zap.01");
}

void ZapHandler::answerRequests()
{
    for (;;) {
        std::vector<zmq::message_t> frames;
        if (!zmq::recv_multipart(this->socket, std::back_inserter(frames), zmq::recv_flags::dontwait))
            return;
        bool isWellFormed = frames.size() == requestFrameCount && frames[5].to_string_view() == "CURVE";
        std::string requestId = frames.size() > 1 ? frames[1].to_string() : "";
        this->answer(requestId, isWellFormed ? encodeKey(frames[6]) : "");
    }
}

/** Sends one answer; rejects an empty key and keys that are not allowed. */
void ZapHandler::answer(const std::string& requestId, const std::string& key)
{
    bool isAllowed = this->allowedKeys.contains(key);
    const std::array<std::string, 6> frames { "1.0", requestId, isAllowed ? "200" : "400", isAllowed ? "OK" : "key not allowed", isAllowed ? key : "", "" };
    for (size_t index = 0; index < frames.size(); index++) {
        bool isLast = index + 1 == frames.size();
        this->socket.send(zmq::buffer(frames[index]), isLast ? zmq::send_flags::none : zmq::send_flags::sndmore);
    }
}

} // namespace kingcup
