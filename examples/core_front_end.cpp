#include "coordination/operation_run.hpp"
#include "state/overloaded.hpp"

#include <iostream>

/// Example of another front end: executes the commands of `operation_run` for one at-most-once
/// booking, with an in-memory table of a single row. Links only the core library.

int main()
{
    using namespace auburnweir;
    using namespace auburnweir::coordination;

    operation_run booking(
        state::attempt_token{"attempt-1"}, state::instance_id{"front-end-1"},
        state::sha256_digest{"digest-of-the-body"});
    state::row_version row{0};
    bool done = false;
    auto command = booking.start();
    while (!done)
    {
        operation_event event = wait_elapsed{};
        std::visit(
            state::overloaded{
                [&](write_row const&)
                {
                    row += state::row_version{1};
                    event = ledger_write_done{row};
                },
                [&](dispatch const&) {
                    event = backend_answered{{200, "text/plain", "booked"}};
                },
                [&](reply_answer const& reply)
                {
                    std::cout << "answer: " << reply.answer.body << "\n";
                    done = true;
                },
                [&](reply_refusal const&) { done = true; }, [](auto const&) {}},
            command);
        if (!done)
            command = booking.handle(event);
    }
    return 0;
}
