#include "transport/peer_links.hpp"

#include "protocol/digest.hpp"
#include "state/overloaded.hpp"
#include "transport/clock.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t frame_limit_bytes = 4UL * 1024 * 1024;
constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t most_waiting_messages = 10000;
constexpr state::duration handshake_limit = std::chrono::seconds{2};

/// Number of the question that a message answers; null for other messages.
std::optional<protocol::correlation_id> answered_question(protocol::peer_message const& message)
{
    using answer = std::optional<protocol::correlation_id>;
    return std::visit(
        state::overloaded{
            [](protocol::journal_ack const& m) -> answer { return m.call_id; },
            [](protocol::journal_response const& m) -> answer { return m.call_id; },
            [](protocol::grouped_result const& m) -> answer { return m.call_id; },
            [](protocol::peer_pong const& m) -> answer { return m.call_id; },
            [](auto const&) -> answer { return std::nullopt; }},
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
           [this](connection_number n) { on_closed(n); }},
          frame_limit_bytes)
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

peer_links::question_scope::~question_scope()
{
    state::ranked_lock lock(links_.mutex_);
    links_.questions_.erase(number_);
}

connection_number peer_links::link_to(state::instance const& to)
{
    auto const known = outbound_.find(to.id);
    if (known != outbound_.end() && outbound_address_[to.id] == to.peer_address)
        return known->second;
    auto const number = endpoint_.connect(to.peer_address.host, to.peer_address.port);
    link fresh{
        protocol::peer_handshake(
            protocol::peer_handshake::role::connecting, self_, key_,
            protocol::random_hex(nonce_bytes)),
        now(), to.id};
    links_.emplace(number, std::move(fresh));
    outbound_[to.id] = number;
    outbound_address_[to.id] = to.peer_address;
    return number;
}

void peer_links::enqueue(connection_number number, link& l, protocol::peer_message message)
{
    if (l.waiting.size() >= most_waiting_messages)
        return;
    l.waiting.push_back(std::move(message));
    if (!l.proved || l.flush_posted)
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
    std::function<protocol::peer_message(protocol::correlation_id)> make, state::duration limit)
{
    auto q = std::make_shared<question>();
    q->answered = std::make_shared<async_signal>(io);
    auto const number = ++last_question_;
    question_scope const open(*this, number);
    auto message = make(protocol::correlation_id{number});
    {
        state::ranked_lock lock(mutex_);
        questions_[number] = q;
        q->via = link_to(to);
        enqueue(q->via, links_.at(q->via), std::move(message));
    }
    co_await q->answered->wait(limit);
    state::ranked_lock lock(mutex_);
    co_return std::move(q->answer);
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
    return now - links_.at(it->second).since;
}

void peer_links::close_unauthenticated(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    for (auto const& [number, l] : links_)
        if (!l.proved && now - l.since > handshake_limit)
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
        messages.swap(it->second.waiting);
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
    bool proved = false;
    {
        state::ranked_lock lock(mutex_);
        auto const it = links_.find(number);
        if (it == links_.end())
            return;
        proved = it->second.proved;
    }
    if (proved)
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
                if (d.frame)
                    endpoint_.send(number, std::move(*d.frame));
                log(log_event::peer_link_open, {{"peer", d.peer.str()}});
                {
                    state::ranked_lock lock(mutex_);
                    auto& l = links_.at(number);
                    l.proved = true;
                    l.peer = d.peer;
                    l.flush_posted = true;
                }
                flush(number);
            }},
        *step);
}

bool peer_links::answer_question(protocol::peer_message& message)
{
    auto const number = answered_question(message);
    if (!number)
        return false;
    state::ranked_lock lock(mutex_);
    auto const it = questions_.find(number->count());
    if (it == questions_.end())
        return true;
    it->second->answer = std::move(message);
    it->second->answered->notify();
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
        if (!answer_question(message))
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
        for (auto const& [q, open] : questions_)
            if (open->via == number)
                open->answered->notify();
        links_.erase(it);
    }
    log(log_event::peer_link_closed, {{"peer", peer.str()}});
}

} // namespace auburnweir::transport
