#ifndef AUBURNWEIR_PROTOCOL_STATUS_LINE_HPP
#define AUBURNWEIR_PROTOCOL_STATUS_LINE_HPP

#include <string_view>

namespace auburnweir::protocol
{

/// Whether a part of a response's header holds the status line of another response. A response that
/// breaks off within a line of its header takes in the first line of the next one.
bool contains_status_line(std::string_view header_text);

/// Whether a response can have this status. HTTP defines five classes, 1xx to 5xx.
bool is_valid_status(int status);

} // namespace auburnweir::protocol

#endif
