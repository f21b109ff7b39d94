#ifndef AUBURNWEIR_STATE_LOAD_TABLE_HPP
#define AUBURNWEIR_STATE_LOAD_TABLE_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"

namespace auburnweir::state
{

/// What this instance sends to each service's backend servers.
///
/// Thread-safe; takes `lock_rank::load`.
class load_table
{
public:
    void sent(service_id const& service, token_count prompt, token_count output)
    {
        ranked_lock lock(mutex_);
        auto& load = loads_[service];
        ++load.running;
        ++load.requests;
        load.prompt_tokens += prompt.count();
        load.output_tokens += output.count();
    }

    void ended(service_id const& service)
    {
        ranked_lock lock(mutex_);
        --loads_[service].running;
    }

    void refused(service_id const& service)
    {
        ranked_lock lock(mutex_);
        ++loads_[service].refused;
    }

    std::map<service_id, service_load> loads() const
    {
        ranked_lock lock(mutex_);
        return loads_;
    }

private:
    mutable ranked_mutex mutex_{lock_rank::load};
    std::map<service_id, service_load> loads_;
};

} // namespace auburnweir::state

#endif
