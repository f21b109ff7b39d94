#ifndef AUBURNWEIR_TRANSPORT_ASIO_HPP
#define AUBURNWEIR_TRANSPORT_ASIO_HPP

#include <utility> // Boost 1.74's awaitable.hpp needs std::exchange

#include <boost/asio.hpp>
#include <boost/beast.hpp>

/// Short names for the asynchronous I/O libraries.
namespace auburnweir::transport
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

} // namespace auburnweir::transport

#endif
