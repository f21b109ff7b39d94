#ifndef AUBURNWEIR_PROTOCOL_WHOLE_DOCUMENT_HPP
#define AUBURNWEIR_PROTOCOL_WHOLE_DOCUMENT_HPP

#include <string_view>

namespace auburnweir::protocol
{

/// Whether a body of this content type can't be the start of a longer one: an object or an array
/// in JSON. The starts of numbers are numbers, and other types have no end of their own.
bool proves_itself_whole(std::string_view content_type, std::string_view body);

} // namespace auburnweir::protocol

#endif
