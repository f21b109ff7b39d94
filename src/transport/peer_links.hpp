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

/// Links to the other entry instances: opened when first needed, proved before use, messages
/// gathered into frames.
///
/// Thread-safe; takes `lock_rank::peer_links`.
class peer_links
{
public:
    /// A message from a proved peer. `via` is for `reply`. Called on the links' thread.
    using receiver = std::function<void(
        state::instance_id const& from, connection_number via, protocol::peer_message message)>;

    peer_links(state::instance_id self, std::string key, receiver on_message);
    ~peer_links();

    /// @return the port, or 0 when the address can't be had
    std::uint16_t listen(state::endpoint const& address);
    void start();
    void stop();

    /// Sends a message, opening a link where there is none. Messages may be lost with the link.
    void send(state::instance const& to, protocol::peer_message message);

    /// Sends a message back on the link that a question came on.
    void reply(connection_number via, protocol::peer_message message);

    /// Sends the message that `make` builds and waits for the message with the same number.
    /// @return null when no answer came within `limit`, or the link was lost
    net::awaitable<std::optional<protocol::peer_message>> call(
        net::io_context& io, state::instance to,
        std::function<protocol::peer_message(protocol::correlation_id)> make,
        state::duration limit);

    /// Closes the link that was opened to a peer; the next message opens a new one.
    void close_link(state::instance_id const& peer);

    /// How long the link to a peer is open; zero when there is none.
    state::duration age(state::instance_id const& peer, state::time_point now);

    /// Closes links that did not prove the key within the handshake time. Call it regularly.
    void close_unauthenticated(state::time_point now);

private:
    struct link
    {
        protocol::peer_handshake handshake;
        state::time_point since;
        state::instance_id peer; ///< whom we connect to, or who proved itself
        bool proved = false;
        bool flush_posted = false;
        std::vector<protocol::peer_message> waiting = {};
    };
    struct question
    {
        connection_number via; ///< its loss ends the wait
        signal_ptr answered;
        std::optional<protocol::peer_message> answer;
    };
    using question_ptr = std::shared_ptr<question>;

    /// Forgets a question when its coroutine ends, also by the end of its worker.
    class question_scope
    {
    public:
        question_scope(peer_links& links, std::uint64_t number)
            : links_(links)
            , number_(number)
        {
        }
        question_scope(question_scope const&) = delete;
        question_scope& operator=(question_scope const&) = delete;
        ~question_scope();

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
    bool answer_question(protocol::peer_message& message);

    state::instance_id self_;
    std::string key_;
    receiver on_message_;
    state::ranked_mutex mutex_{state::lock_rank::peer_links};
    std::map<connection_number, link> links_;
    std::unordered_map<state::instance_id, connection_number> outbound_;
    std::unordered_map<state::instance_id, state::endpoint> outbound_address_;
    std::map<std::uint64_t, question_ptr> questions_;
    std::atomic<std::uint64_t> last_question_{0};
    websocket_endpoint endpoint_;
};

} // namespace auburnweir::transport

#endif
