/** @file EchoBody.h Bodies that name their call and carry a checksum, so that a caller can tell whether an answer is its own and whole. */
#pragma once

#include <string>
#include <string_view>

namespace kingcup::testing {

/** What a caller can conclude from the body of an answer. */
enum class BodyState {
    None, ///< No body of a fake target, as in refusals.
    Whole, ///< Whole and undamaged.
    Broken, ///< The connection ended early and the caller noticed it.
    Damaged, ///< It ended cleanly but is not whole.
};

/** Returns a checksum as 16 hexadecimal digits. */
std::string checksumOf(std::string_view bytes);

/** Makes the body of an answer. @param callId Call that is answered. @param requestBody Body of its request. @param size Bytes of filler. */
std::string makeEchoBody(std::string_view callId, std::string_view requestBody, size_t size);

/** What was read from a body. */
struct EchoBody {
    BodyState state = BodyState::None; ///< Whole or Damaged for the body of a fake target.
    std::string callId; ///< Call that the body answers.
    std::string requestChecksum; ///< Checksum over the body of the request, as the target received it.
};

/** Reads the body of an answer that ended cleanly. */
EchoBody readEchoBody(std::string_view body);

} // namespace kingcup::testing
