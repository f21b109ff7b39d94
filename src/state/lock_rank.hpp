#ifndef AUBURNWEIR_STATE_LOCK_RANK_HPP
#define AUBURNWEIR_STATE_LOCK_RANK_HPP

#include <mutex>

namespace auburnweir::state
{

/// Lock order of the shared tables: a thread acquires locks only in ascending rank.
enum class lock_rank : int
{
    store_eras = 5,
    acknowledged_state = 6,
    configuration = 10,
    evacuations = 12,
    admission_gate = 15,
    admission = 20,
    subset_cache = 25,
    placement_activation = 27,
    service_reach = 28,
    relay_table = 29,
    backend_table = 30,
    server_ratings = 32,
    rollouts = 33,
    directory_log = 35,
    prefix_index = 40,
    retry_budget = 50,
    quota = 52,
    usage = 53,
    instance_reports = 54,
    segment_quarantine = 55,
    request_shares = 56,
    replica_owners = 57,
    journal_table = 60,
    journal = 70,
    peer_table = 90,
    peer_links = 95,
    group_commit = 100
};

/// Mutex that asserts the lock order of `lock_rank` in debug builds.
class ranked_mutex
{
public:
    explicit ranked_mutex(lock_rank rank)
        : rank_(rank)
    {
    }

    ranked_mutex(ranked_mutex const&) = delete;
    ranked_mutex& operator=(ranked_mutex const&) = delete;

    /// @pre the thread holds no lock of this rank or a higher one
    void lock();
    void unlock();

    lock_rank rank() const { return rank_; }

private:
    std::mutex mutex_;
    lock_rank rank_;
};

/// True when a thread whose highest held rank is `held` may acquire `wanted`.
bool may_acquire(lock_rank held, lock_rank wanted);

using ranked_lock = std::lock_guard<ranked_mutex>;

} // namespace auburnweir::state

#endif
