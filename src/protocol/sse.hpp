#ifndef AUBURNWEIR_PROTOCOL_SSE_HPP
#define AUBURNWEIR_PROTOCOL_SSE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnweir::protocol
{

/// Longest event that the parser takes, in bytes.
constexpr std::size_t sse_event_limit = 65536;

/// Splits a server-sent event stream into the `data` of its events, whatever the parts it comes
/// in. Other fields are skipped.
class sse_parser
{
public:
    /// Adds received bytes.
    /// @return false when an event is longer than `sse_event_limit`
    bool feed(std::string_view bytes);

    /// Data of the next whole event, or null. The view holds until the next `feed` or `next`.
    std::optional<std::string_view> next();

private:
    std::string buffer_;
    std::string data_;
    std::size_t read_ = 0;
};

/// Appends one event to `out`. `id` is left out when it is empty.
void append_sse_event(std::string& out, std::string_view id, std::string_view data);

} // namespace auburnweir::protocol

#endif
