#ifndef AUBURNWEIR_TRANSPORT_PEER_LINKS_HPP
#define AUBURNWEIR_TRANSPORT_PEER_LINKS_HPP

#include "protocol/peer_handshake.hpp"
#include "protocol/peer_message.hpp"
#include "state/instance.hpp"
#include "state/lock_rank.hpp"
#include "transport/async_signal.hpp"
#include "transport/websocket_endpoint.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace auburnweir::transport
{

/// Links to the other instances. A link is opened when it is first needed and authenticated before
/// use; messages are grouped into frames.
///
/// Thread-safe; takes `lock_rank::peer_links`.
class peer_links
{
public:
    /// Receives a message from an authenticated peer; `via` is the argument for `reply`. Called on
    /// the links' thread.
    using receiver = std::function<void(
        state::instance_id const& from, connection_number via, protocol::peer_message message)>;

    peer_links(state::instance_id self, std::string key, receiver on_message);
    ~peer_links();

    /// @return the port, or 0 when the address is not available
    std::uint16_t listen(state::endpoint const& address);
    void start();
    void stop();

    /// Sends a message and opens a link when there is none. Messages can be lost with the link.
    void send(state::instance const& to, protocol::peer_message message);

    /// Sends a message on the link on which a call arrived.
    void reply(connection_number via, protocol::peer_message message);

    /// Sends the message that `make` builds and waits for the response with the same correlation
    /// id.
    /// @return null when the timeout elapsed or the link was lost
    net::awaitable<std::optional<protocol::peer_message>> call(
        net::io_context& io, state::instance to,
        std::function<protocol::peer_message(protocol::correlation_id)> make,
        state::duration timeout);

    /// Closes the link that was opened to a peer; the next message opens a new one.
    void close_link(state::instance_id const& peer);

    /// Time since the link to a peer was opened; zero when there is none.
    state::duration age(state::instance_id const& peer, state::time_point now);

    /// Closes links that did not prove the key within the handshake timeout. Call it periodically.
    void close_unauthenticated(state::time_point now);

private:
    struct link
    {
        protocol::peer_handshake handshake;
        state::time_point opened_at;
        state::instance_id peer; ///< the peer to connect to, or the one that was authenticated
        bool authenticated = false;
        bool flush_posted = false;
        std::vector<protocol::peer_message> queued = {};
    };
    struct pending_call
    {
        connection_number via; ///< the wait ends when this link is lost
        signal_ptr ended;
        std::optional<protocol::peer_message> response;
    };
    using pending_call_ptr = std::shared_ptr<pending_call>;

    /// Removes a pending call when its coroutine ends or is destroyed with its worker.
    class pending_call_scope
    {
    public:
        pending_call_scope(peer_links& links, std::uint64_t number)
            : links_(links)
            , number_(number)
        {
        }
        pending_call_scope(pending_call_scope const&) = delete;
        pending_call_scope& operator=(pending_call_scope const&) = delete;
        ~pending_call_scope();

    private:
        peer_links& links_;
        std::uint64_t number_;
    };

    connection_number link_to(state::instance const& to);
    void enqueue(connection_number number, link& l, protocol::peer_message message);
    void flush(connection_number number);
    void on_opened(connection_number number, bool outbound);
    void on_received(connection_number number, std::string const& frame);
    void on_closed(connection_number number);
    void on_handshake(connection_number number, std::string const& frame);
    void on_messages(connection_number number, std::string const& frame);
    bool complete_call(protocol::peer_message& message);

    state::instance_id self_;
    std::string key_;
    receiver on_message_;
    state::ranked_mutex mutex_{state::lock_rank::peer_links};
    std::map<connection_number, link> links_;
    std::unordered_map<state::instance_id, connection_number> outbound_;
    std::unordered_map<state::instance_id, state::endpoint> outbound_address_;
    std::map<std::uint64_t, pending_call_ptr> pending_calls_;
    std::atomic<std::uint64_t> last_correlation_id_{0};
    websocket_endpoint endpoint_;
};

} // namespace auburnweir::transport

#endif
