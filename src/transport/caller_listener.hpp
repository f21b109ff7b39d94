#ifndef AUBURNWEIR_TRANSPORT_CALLER_LISTENER_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_LISTENER_HPP

#include "transport/entry_context.hpp"

namespace auburnweir::transport
{

/// Accepts callers' connections and deals them out to the workers.
class caller_listener
{
public:
    explicit caller_listener(entry_context& context);

    /// @return the port, or 0 when the address can't be had
    std::uint16_t listen(state::endpoint const& address);

    void start();

    /// Accepts no more; open connections go on. Thread-safe.
    void close();

private:
    net::awaitable<void> run();

    entry_context& context_;
    tcp::acceptor acceptor_;
};

} // namespace auburnweir::transport

#endif
