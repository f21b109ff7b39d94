#include "transport/peer_links.hpp"

#include "protocol/digest.hpp"
#include "state/overloaded.hpp"
#include "transport/clock.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t max_frame_bytes = 4UL * 1024 * 1024;
constexpr std::size_t max_handshake_bytes = 4096; ///< of a frame before authentication
constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t max_queued_messages = 10000;
constexpr state::duration handshake_timeout = std::chrono::seconds{2};

/// Correlation id of the call to which a message responds; null for other messages.
std::optional<protocol::correlation_id> responded_call(protocol::peer_message const& message)
{
    using id = std::optional<protocol::correlation_id>;
    return std::visit(
        state::overloaded{
            [](protocol::journal_ack const& m) -> id { return m.call_id; },
            [](protocol::journal_response const& m) -> id { return m.call_id; },
            [](protocol::grouped_result const& m) -> id { return m.call_id; },
            [](protocol::peer_pong const& m) -> id { return m.call_id; },
            [](auto const&) -> id { return std::nullopt; }},
        message);
}

} // namespace

peer_links::peer_links(state::instance_id self, std::string key, receiver on_message)
    : self_(std::move(self))
    , key_(std::move(key))
    , on_message_(std::move(on_message))
    , endpoint_(
          {[this](connection_number n, bool outbound) { on_opened(n, outbound); },
           [this](connection_number n, std::string const& frame) { on_received(n, frame); },
           [this](connection_number n) { on_closed(n); },
           [](std::string const& reason) {
               log(log_event::handler_failed, {{"reason", reason}});
           }},
          max_handshake_bytes)
{
}

peer_links::~peer_links()
{
    stop();
}

std::uint16_t peer_links::listen(state::endpoint const& address)
{
    return endpoint_.listen(address.host, address.port);
}

void peer_links::start()
{
    endpoint_.start();
}

void peer_links::stop()
{
    endpoint_.stop();
}

peer_links::pending_call_scope::~pending_call_scope()
{
    state::ranked_lock lock(links_.mutex_);
    links_.pending_calls_.erase(number_);
}

connection_number peer_links::link_to(state::instance const& to)
{
    auto const existing = outbound_.find(to.id);
    if (existing != outbound_.end() && outbound_address_[to.id] == to.peer_address)
        return existing->second;
    auto const number = endpoint_.connect(to.peer_address.host, to.peer_address.port);
    link opened{
        protocol::peer_handshake(
            protocol::peer_handshake::role::connecting, self_, key_,
            protocol::random_hex(nonce_bytes)),
        now(), to.id};
    links_.emplace(number, std::move(opened));
    outbound_[to.id] = number;
    outbound_address_[to.id] = to.peer_address;
    return number;
}

void peer_links::enqueue(connection_number number, link& l, protocol::peer_message message)
{
    if (l.queued.size() >= max_queued_messages)
        return;
    l.queued.push_back(std::move(message));
    if (!l.authenticated || l.flush_posted)
        return;
    l.flush_posted = true;
    endpoint_.post([this, number] { flush(number); });
}

void peer_links::send(state::instance const& to, protocol::peer_message message)
{
    state::ranked_lock lock(mutex_);
    auto const number = link_to(to);
    enqueue(number, links_.at(number), std::move(message));
}

void peer_links::reply(connection_number via, protocol::peer_message message)
{
    state::ranked_lock lock(mutex_);
    auto const it = links_.find(via);
    if (it != links_.end())
        enqueue(via, it->second, std::move(message));
}

net::awaitable<std::optional<protocol::peer_message>> peer_links::call(
    net::io_context& io, state::instance to,
    std::function<protocol::peer_message(protocol::correlation_id)> make, state::duration timeout)
{
    auto pending = std::make_shared<pending_call>();
    pending->ended = std::make_shared<async_signal>(io);
    auto const number = ++last_correlation_id_;
    pending_call_scope const open(*this, number);
    auto message = make(protocol::correlation_id{number});
    {
        state::ranked_lock lock(mutex_);
        pending_calls_[number] = pending;
        pending->via = link_to(to);
        enqueue(pending->via, links_.at(pending->via), std::move(message));
    }
    co_await pending->ended->wait(timeout);
    state::ranked_lock lock(mutex_);
    co_return std::move(pending->response);
}

void peer_links::close_link(state::instance_id const& peer)
{
    state::ranked_lock lock(mutex_);
    auto const it = outbound_.find(peer);
    if (it == outbound_.end())
        return;
    endpoint_.close(it->second);
    outbound_.erase(it);
}

state::duration peer_links::age(state::instance_id const& peer, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto const it = outbound_.find(peer);
    if (it == outbound_.end())
        return state::duration::zero();
    return now - links_.at(it->second).opened_at;
}

void peer_links::close_unauthenticated(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    for (auto const& [number, l] : links_)
        if (!l.authenticated && now - l.opened_at > handshake_timeout)
            endpoint_.close(number);
}

void peer_links::flush(connection_number number)
{
    std::vector<protocol::peer_message> messages;
    {
        state::ranked_lock lock(mutex_);
        auto const it = links_.find(number);
        if (it == links_.end())
            return;
        it->second.flush_posted = false;
        messages.swap(it->second.queued);
    }
    if (!messages.empty())
        endpoint_.send(number, protocol::encode_frame(messages));
}

void peer_links::on_opened(connection_number number, bool outbound)
{
    std::optional<std::string> hello;
    {
        state::ranked_lock lock(mutex_);
        if (!outbound)
            links_.emplace(
                number, link{
                            protocol::peer_handshake(
                                protocol::peer_handshake::role::accepting, self_, key_,
                                protocol::random_hex(nonce_bytes)),
                            now(), state::instance_id{}});
        else if (auto const it = links_.find(number); it != links_.end())
            hello = it->second.handshake.hello();
    }
    if (hello)
        endpoint_.send(number, std::move(*hello));
}

void peer_links::on_received(connection_number number, std::string const& frame)
{
    bool authenticated = false;
    {
        state::ranked_lock lock(mutex_);
        auto const it = links_.find(number);
        if (it == links_.end())
            return;
        authenticated = it->second.authenticated;
    }
    if (authenticated)
        on_messages(number, frame);
    else
        on_handshake(number, frame);
}

void peer_links::on_handshake(connection_number number, std::string const& frame)
{
    std::optional<protocol::handshake_step> step;
    {
        state::ranked_lock lock(mutex_);
        auto const it = links_.find(number);
        if (it != links_.end())
            step = it->second.handshake.receive(frame);
    }
    if (!step)
        return;
    std::visit(
        state::overloaded{
            [&](protocol::handshake_send& s) { endpoint_.send(number, std::move(s.frame)); },
            [&](protocol::handshake_refused const& r)
            {
                log(log_event::peer_refused, {{"reason", r.reason}});
                endpoint_.close(number);
            },
            [&](protocol::handshake_done& d)
            {
                endpoint_.set_max_frame_bytes(number, max_frame_bytes);
                if (d.frame)
                    endpoint_.send(number, std::move(*d.frame));
                log(log_event::peer_link_open, {{"peer", d.peer.str()}});
                {
                    state::ranked_lock lock(mutex_);
                    auto& l = links_.at(number);
                    l.authenticated = true;
                    l.peer = d.peer;
                    l.flush_posted = true;
                }
                flush(number);
            }},
        *step);
}

bool peer_links::complete_call(protocol::peer_message& message)
{
    auto const id = responded_call(message);
    if (!id)
        return false;
    state::ranked_lock lock(mutex_);
    auto const it = pending_calls_.find(id->count());
    if (it == pending_calls_.end())
        return true;
    it->second->response = std::move(message);
    it->second->ended->notify();
    return true;
}

void peer_links::on_messages(connection_number number, std::string const& frame)
{
    auto decoded = protocol::decode_frame(frame);
    if (!decoded)
    {
        log(log_event::peer_frame_malformed, {{"reason", decoded.error().reason}});
        endpoint_.close(number);
        return;
    }
    state::instance_id from;
    {
        state::ranked_lock lock(mutex_);
        auto const it = links_.find(number);
        if (it == links_.end())
            return;
        from = it->second.peer;
    }
    for (auto& message : decoded.value())
        if (!complete_call(message))
            on_message_(from, number, std::move(message));
}

void peer_links::on_closed(connection_number number)
{
    state::instance_id peer;
    {
        state::ranked_lock lock(mutex_);
        auto const it = links_.find(number);
        if (it == links_.end())
            return;
        peer = it->second.peer;
        auto const outbound = outbound_.find(peer);
        if (outbound != outbound_.end() && outbound->second == number)
            outbound_.erase(outbound);
        for (auto const& [id, pending] : pending_calls_)
            if (pending->via == number)
                pending->ended->notify();
        links_.erase(it);
    }
    log(log_event::peer_link_closed, {{"peer", peer.str()}});
}

} // namespace auburnweir::transport
