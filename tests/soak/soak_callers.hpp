#ifndef AUBURNWEIR_SOAK_CALLERS_HPP
#define AUBURNWEIR_SOAK_CALLERS_HPP

#include "soak/soak_deployment.hpp"
#include "soak/soak_plan.hpp"
#include "soak/soak_record.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace auburnweir::soak
{

/// Threads that send one request at a time, on connections that they reuse until the gateway closes
/// them.
class soak_callers
{
public:
    soak_callers(
        soak_size const& size, std::uint64_t seed, soak_deployment& deployment,
        soak_record& record);
    ~soak_callers();

    void stop();

private:
    void run(int index, std::uint64_t seed);

    soak_size size_;
    soak_deployment& deployment_;
    soak_record& record_;
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> threads_;
};

} // namespace auburnweir::soak

#endif
