#ifndef AUBURNWEIR_STATE_SEND_LIMIT_HPP
#define AUBURNWEIR_STATE_SEND_LIMIT_HPP

#include "state/quantity.hpp"
#include "state/time.hpp"

namespace auburnweir::state
{

/// Requests a second.
using request_rate = quantity<struct request_rate_unit, double>;

/// The requests that this instance may send to a server that takes a limited rate from all
/// instances together.
///
/// Holds one request at most: what one instance saves up, all may spend at the same moment.
class send_limit
{
public:
    send_limit(request_rate rate, time_point now);

    request_rate rate() const { return rate_; }

    /// Changes the rate of all instances; what was sent stays counted.
    void change_rate(request_rate rate, double share, time_point now);

    /// When the next request may be sent, if this instance has this share of the rate, from 0 to 1.
    time_point opens_at(double share) const;

    /// Counts a request that is sent.
    void record_sent(double share, time_point now);

private:
    void refill(double share, time_point now);

    request_rate rate_;
    double level_ = 0; ///< requests
    time_point refilled_at_;
};

} // namespace auburnweir::state

#endif
