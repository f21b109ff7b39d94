#include "transport/peer_service.hpp"

#include "state/overloaded.hpp"
#include "transport/chat_driver.hpp"
#include "transport/clock.hpp"
#include "transport/journal_replicator.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{
constexpr std::size_t max_tokens_per_read = 1024;
constexpr state::duration recent_read_age = std::chrono::seconds{2};
constexpr int max_probes = 3;
} // namespace

peer_service::peer_service(entry_context& context)
    : context_(context)
{
}

void peer_service::receive(
    state::instance_id const& from, connection_number via, protocol::peer_message message)
{
    std::visit(
        state::overloaded{
            [&](protocol::journal_open& m) { on_open(from, m); },
            [&](protocol::journal_batch const& m) { on_batch(from, via, m); },
            [&](protocol::journal_read const& m) { on_read(via, m); },
            [&](protocol::journal_handover const& m)
            {
                if (m.owner == from)
                    adopt_journals_of(from);
            },
            [&](protocol::backend_leaving const& m)
            {
                auto& home = context_.workers.at(0);
                net::post(
                    home.io(), [this, &home, m]
                    { context_.mark_leaving(m.backend, m.time_left, home.random()); });
            },
            [&](protocol::grouped_write& m) { on_grouped_write(via, m); },
            [&](protocol::peer_ping const& m)
            { context_.peers.reply(via, protocol::peer_pong{m.call_id}); },
            [](auto const&) {}},
        message);
}

void peer_service::on_open(state::instance_id const& from, protocol::journal_open& message)
{
    auto const& header = message.request.header;
    if (context_.tables.journals.find(header.organisation, header.id))
        return;
    auto const tag = message.lineage.front().tag;
    auto const opened = context_.tables.journals.open(std::move(message.request), from, tag);
    if (opened)
        opened->replace_lineage(message.lineage);
    state::ranked_lock lock(mutex_);
    owners_.try_emplace(from, false);
}

void peer_service::on_batch(
    state::instance_id const& from, connection_number via, protocol::journal_batch const& message)
{
    protocol::journal_ack ack{{}, message.call_id};
    for (auto const& append : message.appends)
        ack.appends.push_back(on_append(from, append));
    context_.peers.reply(via, std::move(ack));
}

protocol::append_ack peer_service::on_append(
    state::instance_id const& from, protocol::journal_append const& append)
{
    auto const journal = context_.tables.journals.find(append.key.organisation, append.key.id);
    if (!journal)
        return {protocol::ack_status::unknown, false};
    if (journal->owner() != from)
        return {protocol::ack_status::superseded, false};
    auto const merged = journal->merge(append.chunk);
    if (merged == state::append_result::gap || merged == state::append_result::diverged)
        return {protocol::ack_status::unknown, false};
    if (append.chunk.finish)
        context_.tables.journals.retire(journal, now(), context_.settings.journal_kept);
    return {protocol::ack_status::accepted, now() - journal->last_read() < recent_read_age};
}

void peer_service::on_read(connection_number via, protocol::journal_read const& message)
{
    protocol::journal_response response{std::nullopt, {}, message.call_id};
    auto const journal = context_.tables.journals.find(message.key.organisation, message.key.id);
    if (journal)
    {
        journal->record_read(now());
        response.chunk = journal->read_after(message.after, max_tokens_per_read);
        response.lineage = journal->lineage();
    }
    context_.peers.reply(via, std::move(response));
}

void peer_service::on_grouped_write(connection_number via, protocol::grouped_write& message)
{
    context_.ledger.enqueue_write(
        std::move(message.write),
        [this, via, number = message.call_id](state::write_result result) {
            context_.peers.reply(via, protocol::grouped_result{std::move(result), number});
        });
}

void peer_service::probe_owners()
{
    std::vector<state::instance_id> to_probe;
    {
        state::ranked_lock lock(mutex_);
        for (auto& [owner, is_probed] : owners_)
        {
            if (is_probed)
                continue;
            is_probed = true;
            to_probe.push_back(owner);
        }
    }
    for (auto const& owner : to_probe)
        net::co_spawn(context_.workers.at(0).io(), probe_owner(owner), net::detached);
}

net::awaitable<bool> peer_service::responds(state::instance owner)
{
    auto const make = [](protocol::correlation_id number)
    { return protocol::peer_message{protocol::peer_ping{number}}; };
    auto& io = context_.workers.at(0).io();
    auto const timeout = context_.settings.adopt_delay / max_probes;
    auto const pong = co_await context_.peers.call(io, owner, make, timeout);
    co_return pong.has_value();
}

net::awaitable<void> peer_service::probe_owner(state::instance_id owner)
{
    bool is_alive = false;
    bool const has_unfinished = !context_.tables.journals.unfinished_of(owner).empty();
    auto const probe_interval = context_.settings.adopt_delay / max_probes;
    for (int i = 0; has_unfinished && !is_alive && i < max_probes; ++i)
    {
        auto const listed = context_.tables.instances.find(owner);
        is_alive = listed && co_await responds(*listed);
        if (!is_alive)
            co_await sleep_for(context_.workers.at(0).io(), probe_interval);
    }
    if (has_unfinished && !is_alive)
        adopt_journals_of(owner);
    state::ranked_lock lock(mutex_);
    if (context_.tables.journals.unfinished_of(owner).empty())
        owners_.erase(owner);
    else
        owners_[owner] = false;
}

void peer_service::adopt_journals_of(state::instance_id const& owner)
{
    for (auto const& journal : context_.tables.journals.unfinished_of(owner))
        adopt(journal);
}

void peer_service::adopt(state::journal_ptr const& journal)
{
    context_.tables.counters.increment(state::event_counter::journals_adopted);
    log(log_event::journal_adopted,
        {{"request", journal->request().header.id.str()}, {"owner", journal->owner().str()}});
    journal->adopt(context_.self.id, new_generation_tag());
    auto& home = context_.workers.next();
    net::post(
        home.io(),
        [this, &home, journal]
        {
            std::make_shared<journal_replicator>(context_, home, journal)->start();
            auto const driver =
                std::make_shared<chat_driver>(context_, home, journal, admission_slot{});
            driver->continue_without_reader();
            driver->start();
        });
}

void peer_service::hand_over_requests()
{
    if (context_.tables.journals.unfinished_of(context_.self.id).empty())
        return;
    for (auto const& peer : context_.tables.instances.live())
        if (peer.id != context_.self.id)
            context_.peers.send(peer, protocol::journal_handover{context_.self.id});
}

} // namespace auburnweir::transport
