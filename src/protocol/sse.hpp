#ifndef AUBURNWEIR_PROTOCOL_SSE_HPP
#define AUBURNWEIR_PROTOCOL_SSE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnweir::protocol
{

/// Maximum length of an event that the parser accepts, in bytes.
constexpr std::size_t max_sse_event_bytes = 65536;

/// Extracts the `data` of the events of a server-sent event stream, which may arrive split at any
/// byte. Other fields are skipped.
class sse_parser
{
public:
    /// Adds received bytes.
    /// @return false when an event is longer than `max_sse_event_bytes`
    bool feed(std::string_view bytes);

    /// Data of the next complete event, or null when there is none yet. The view is valid until the
    /// next call of `feed` or `next`.
    std::optional<std::string_view> next();

private:
    std::string buffer_;
    std::string data_;
    std::size_t consumed_ = 0;
};

/// Appends one event to `out`; an empty `id` is omitted.
void append_sse_event(std::string& out, std::string_view id, std::string_view data);

} // namespace auburnweir::protocol

#endif
