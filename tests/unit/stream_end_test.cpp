#include "coordination/stream_end.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

/// The end of a stream that sent events in chunks or with a length.
class stream_end_test : public testing::Test
{
protected:
    template <class Kind>
    bool is() const
    {
        return std::holds_alternative<Kind>(classify_stream_end(end));
    }

    stream_end end = []
    {
        stream_end e;
        e.has_events = true;
        return e;
    }();
};

TEST_F(stream_end_test, delimited_body_that_ends_after_an_event_is_complete)
{
    EXPECT_TRUE(is<stream_completed>());
}

// Guards against ORDER: the last chunk after a part of an event taken for the end of the stream.
TEST_F(stream_end_test, delimited_body_that_ends_inside_an_event_is_truncated)
{
    end.is_inside_event = true;
    for (bool const resumed : {false, true})
        for (bool const has_events : {false, true})
        {
            end.is_resumed = resumed;
            end.has_events = has_events;
            EXPECT_TRUE(is<stream_truncated>()) << resumed << has_events;
        }
}

TEST_F(stream_end_test, delimited_body_without_events_is_truncated_unless_it_is_resumed)
{
    end.has_events = false;
    EXPECT_TRUE(is<stream_truncated>());
    end.is_resumed = true;
    EXPECT_TRUE(is<stream_completed>());
}

// Guards against ORDER: a resumed run without events taken for the rest of a stream of which the
// start of another event has come.
TEST_F(stream_end_test, resumed_body_without_the_event_that_has_begun_is_truncated)
{
    end.is_resumed = true;
    end.has_begun_next_event = true;
    for (auto const proof : {body_proof::delimited, body_proof::outlived})
    {
        end.proof = proof;
        end.has_events = false;
        EXPECT_TRUE(is<stream_truncated>());
        end.has_events = true;
        EXPECT_TRUE(is<stream_completed>());
    }
}

TEST_F(stream_end_test, delimited_body_of_another_type_is_complete)
{
    end.is_event_stream = false;
    end.is_inside_event = true;
    end.has_events = false;
    EXPECT_TRUE(is<stream_completed>());
}

// Guards against ORDER: the connections of a server that died taken for the end of its streams.
TEST_F(stream_end_test, end_of_the_connection_alone_is_a_disconnection)
{
    end.proof = body_proof::none;
    for (bool const has_events : {false, true})
        for (bool const inside : {false, true})
            for (bool const resumed : {false, true})
                for (bool const of_events : {false, true})
                {
                    end.has_events = has_events;
                    end.is_inside_event = inside;
                    end.is_resumed = resumed;
                    end.is_event_stream = of_events;
                    EXPECT_TRUE(is<stream_disconnected>());
                }
}

TEST_F(stream_end_test, connection_of_a_server_that_runs_on_ends_a_stream_like_a_last_chunk)
{
    end.proof = body_proof::outlived;
    EXPECT_TRUE(is<stream_completed>());
    end.is_inside_event = true;
    EXPECT_TRUE(is<stream_truncated>());
    end.is_inside_event = false;
    end.has_events = false;
    EXPECT_TRUE(is<stream_truncated>());
    end.is_resumed = true;
    EXPECT_TRUE(is<stream_completed>());
}

} // namespace
} // namespace auburnweir::coordination
