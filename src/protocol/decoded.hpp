#ifndef AUBURNWEIR_PROTOCOL_DECODED_HPP
#define AUBURNWEIR_PROTOCOL_DECODED_HPP

#include <boost/outcome/result.hpp>

#include <string>

namespace auburnweir::protocol
{

/// Why a message could not be decoded.
struct decode_error
{
    std::string reason;
};

/// A decoded message, or the error that prevented decoding.
template <class T>
using decoded = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, decode_error>;

} // namespace auburnweir::protocol

#endif
