/// \file
/// Frames, the units of transfer on a connection between instances.
#ifndef HAWTHORNBEAM_LIB_WIRE_FRAME_HPP
#define HAWTHORNBEAM_LIB_WIRE_FRAME_HPP

#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornbeam::wire
{

/// Bytes of the big-endian length that precedes each frame.
inline constexpr std::size_t length_bytes = 4;

enum class frame_kind : std::uint8_t
{
    hello,       ///< First frame in both directions.
    request,     ///< Body is an encoded request.
    reply,       ///< Body is an encoded reply to the request with this id.
    probe,       ///< Asks for a probe_answer.
    probe_answer ///< Shows that the peer's event loop is running.
};

struct frame
{
    frame_kind kind = frame_kind::probe;
    /// Request id; zero for frames other than requests and replies.
    std::uint64_t id = 0;
    /// Remaining time that the caller waits; requests only.
    std::int64_t deadline_ms = 0;
    std::string body;
};

/// Handshake message that identifies an instance and its protocol version.
struct hello
{
    std::uint32_t version = 0;
    instance_id id;
    std::uint64_t session = 0; ///< Random; differs after a restart of the instance.
};

/// Encodes a frame with its length prefix.
std::string encode_frame(const frame& value);
/// Decodes a frame without its length prefix.
result<frame> decode_frame(std::string_view bytes);

/// Encodes the body of a hello frame.
std::string encode_hello(const hello& value);
/// Fails with invalid_input if the peer uses another protocol. For a hello of another
/// version only the version is set, because the rest of its layout is not known.
result<hello> decode_hello(std::string_view bytes);

/// Decodes a length prefix; \p bytes must have at least length_bytes bytes.
std::size_t read_length(std::string_view bytes);

} // namespace hawthornbeam::wire

#endif
