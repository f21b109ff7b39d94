#ifndef AUBURNWEIR_TRANSPORT_JOURNAL_WATCH_HPP
#define AUBURNWEIR_TRANSPORT_JOURNAL_WATCH_HPP

#include "state/journal.hpp"
#include "transport/async_signal.hpp"

namespace auburnweir::transport
{

/// Calls a listener on changes of a journal; the destructor ends the subscription.
class journal_subscription
{
public:
    journal_subscription(
        state::journal_ptr journal, state::journal_change kind, state::journal::listener on_change)
        : journal_(std::move(journal))
        , key_(journal_->listen(kind, std::move(on_change)))
    {
    }

    journal_subscription(journal_subscription const&) = delete;
    journal_subscription& operator=(journal_subscription const&) = delete;

    ~journal_subscription() { journal_->unlisten(key_); }

private:
    state::journal_ptr journal_;
    std::uint64_t key_;
};

/// Wakes a coroutine when a journal changes.
class journal_watch
{
public:
    journal_watch(net::io_context& io, state::journal_ptr journal, state::journal_change kind)
        : changed_(std::make_shared<async_signal>(io))
        , subscription_(std::move(journal), kind, [changed = changed_] { changed->notify(); })
    {
    }

    /// @return false when nothing changed within `timeout`
    net::awaitable<bool> wait(state::duration timeout) { return changed_->wait(timeout); }

private:
    signal_ptr changed_;
    journal_subscription subscription_;
};

} // namespace auburnweir::transport

#endif
