#include "support/deployment.hpp"

#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

/// The logs of entry processes.
class entry_log_test : public testing::Test
{
protected:
    bool has_logged(int entry, std::string const& event)
    {
        std::ifstream file(system.log_path(entry));
        for (std::string line; std::getline(file, line);)
            if (line.find("\"name\":\"" + event + "\"") != std::string::npos)
                return true;
        return false;
    }

    deployment system{deployment_plan{}};
};

// Guards against an incident without a trace: lines kept in memory until there are 4 KiB of them.
TEST_F(entry_log_test, events_are_written_while_the_process_runs)
{
    EXPECT_TRUE(eventually([&] { return has_logged(0, "entry_started"); }, 2000));
}

TEST_F(entry_log_test, events_of_a_stop_are_written_before_the_process_exits)
{
    system.entry(1).signal(SIGTERM);
    ASSERT_EQ(system.entry(1).wait_for_exit(20000), 0);
    EXPECT_TRUE(eventually([&] { return has_logged(1, "entry_stopped"); }, 2000));
}

} // namespace
} // namespace auburnweir::tests
