#ifndef AUBURNWEIR_STATE_BODY_FRAMING_HPP
#define AUBURNWEIR_STATE_BODY_FRAMING_HPP

#include <cstdint>
#include <string_view>

namespace auburnweir::state
{

/// What marks the end of a response's body.
enum class body_framing : std::uint8_t
{
    length,
    chunks,
    connection ///< the body has neither a length nor chunks, and ends with its connection
};

constexpr std::string_view name_of(body_framing framing)
{
    switch (framing)
    {
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection:
        break;
    }
    return "connection";
}

} // namespace auburnweir::state

#endif
