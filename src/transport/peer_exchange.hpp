#ifndef AUBURNWEIR_TRANSPORT_PEER_EXCHANGE_HPP
#define AUBURNWEIR_TRANSPORT_PEER_EXCHANGE_HPP

#include "transport/gateway_context.hpp"
#include "transport/peer_links.hpp"

namespace auburnweir::transport
{

/// Tells the other instances what this one grants, counts and carries, and hears the same of them.
///
/// Instances find each other by rows of the store, read once at the start; later ones introduce
/// themselves. Reports go over peer links, so that the store's calls do not grow with them.
class peer_exchange
{
public:
    peer_exchange(gateway_context& context, peer_links& links);

    void start();

    /// A message from a proved peer; on the links' thread.
    void receive(protocol::peer_message message);

    /// Whether this instance says that it holds the duties.
    void holds_duties(bool holds) { holds_duties_ = holds; }
    bool holds_duties() const { return holds_duties_; }

    /// Whether a live instance, this one not included, says that it holds the duties.
    bool others_hold_duties() const;

    /// Instances that were heard lately, this one included.
    std::size_t live() const;

    /// Position of this instance among the live ones, by name.
    std::size_t rank() const;

private:
    net::awaitable<void> introduce();
    void tick();
    state::instance_report own_report(bool with_details);
    void send_to(state::known_instance const& peer, state::instance_report report);
    bool is_live(state::known_instance const& peer) const;

    gateway_context& context_;
    peer_links& links_;
    std::atomic<bool> holds_duties_{false};
    std::uint64_t sequence_ = 0;
    std::vector<timer_subscription> subscriptions_;
};

} // namespace auburnweir::transport

#endif
