#ifndef AUBURNWEIR_STATE_JOURNAL_HPP
#define AUBURNWEIR_STATE_JOURNAL_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/reasons.hpp"
#include "state/request.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace auburnweir::state
{

/// How an answer ended.
enum class finish_reason : std::uint8_t
{
    stop,
    length,
    failed
};

std::string_view name_of(finish_reason reason);

/// A run of tokens of an answer, from `first` on.
struct journal_chunk
{
    sequence_number first{1};
    std::vector<std::string> tokens;
    std::optional<finish_reason> finish; ///< set on the part that reaches the end
};

/// Names the run of tokens that one owner produced; unique to the owner and the request.
using generation_tag = strong_id<struct generation_unit>;

/// Tokens up to `upto` that came from one generation and those before it.
struct generation_span
{
    generation_tag tag;
    sequence_number upto; ///< `open_end` while the generation goes on

    friend bool operator==(generation_span const&, generation_span const&) = default;
};

constexpr sequence_number open_end{UINT64_MAX};

/// Generations of one answer, oldest first.
using generation_lineage = std::vector<generation_span>;

/// A place in an answer: a token's number and the generation that a reader had it from.
struct resume_point
{
    generation_tag generation; ///< empty when the reader does not know
    sequence_number after;
};

/// What came of appending to a journal.
enum class append_result : std::uint8_t
{
    appended,
    duplicate,  ///< all tokens were there already
    gap,        ///< tokens before `first` are missing; nothing was changed
    superseded, ///< the attempt is no longer the current one; nothing was changed
    diverged,   ///< a token differs from the one already here; nothing was changed
    closed      ///< the answer has ended; nothing was changed
};

/// What about a journal changed; values join to a set.
enum class journal_change : std::uint8_t
{
    written = 1,  ///< there are tokens or an end that a replica lacks
    visible = 2,  ///< readers can see more, or the owner changed
    delivered = 4 ///< the caller's connection has taken more
};

/// A set of changes.
using journal_changes = std::uint8_t;

constexpr journal_changes operator|(journal_change a, journal_change b)
{
    return static_cast<journal_changes>(static_cast<int>(a) | static_cast<int>(b));
}

constexpr bool includes(journal_changes all, journal_change one)
{
    return (all & static_cast<journal_changes>(one)) != 0;
}

/// The answer to one chat request as far as it is known, kept until it expires.
///
/// Only the current attempt may append, so that late or crossed answers of an earlier attempt
/// cannot mix into the answer. Readers see tokens only once they are released: while the journal
/// is held, that is after its replica has them. Thread-safe; takes `lock_rank::journal`.
class journal
{
public:
    using listener = std::function<void()>;

    /// @param generation  tag of the owner's tokens
    journal(chat_request request, instance_id owner, generation_tag generation);

    chat_request const& request() const { return request_; }

    /// The instance that drives the request.
    instance_id owner() const;

    /// Another owner goes on from the last token, as a generation of its own.
    void adopt(instance_id owner, generation_tag generation);

    generation_lineage lineage() const;

    /// Takes over what a peer knows of the generations.
    void replace_lineage(generation_lineage lineage);

    /// True when the tokens up to the point are the ones that the reader had.
    bool can_resume(resume_point const& point) const;

    /// Makes `token` the current attempt; earlier ones are superseded.
    void begin_attempt(attempt_token const& token);

    append_result append(attempt_token const& attempt, std::string token);
    append_result finish(attempt_token const& attempt, finish_reason reason);

    /// Ends the answer as failed, whatever the current attempt, and keeps the reason.
    append_result fail(refusal_reason reason);

    /// Appends what a peer sent; tokens that overlap must be the same and are skipped.
    append_result merge(journal_chunk const& part);

    /// From now on readers wait for `release`.
    void hold();

    /// Lets readers see tokens up to `upto`, and the end if that is the last one.
    void release(sequence_number upto);

    /// Lets readers see all there is and all that comes.
    void release_all();

    /// Another instance drives the request: drops tokens that no reader has seen, and supersedes
    /// the current attempt. The rest comes by `merge`.
    void yield_to(instance_id owner);

    /// Released tokens after `after`, at most `limit` of them.
    journal_chunk read_after(sequence_number after, std::size_t limit) const;

    /// Tokens after `after` whether released or not, for the replica.
    journal_chunk read_unreleased_after(sequence_number after) const;

    /// Sequence number of the last token; 0 when there is none.
    sequence_number last() const;
    std::optional<finish_reason> finished() const;

    /// Why the answer failed, when this instance knows.
    std::optional<refusal_reason> failure() const;

    /// Notes that a reader is there at `now`.
    void record_read(time_point now);
    time_point last_read() const;

    /// Notes how far the caller's connection has taken the answer; bounds what is read ahead.
    void record_delivered(sequence_number upto);

    /// Tokens that have not been delivered yet.
    std::uint64_t undelivered() const;

    /// All tokens so far as one text.
    std::string text() const;

    /// Calls `on_change` after each change of the kind, from the thread that made it, without the
    /// lock. @return key for `unlisten`
    std::uint64_t listen(journal_change kind, listener on_change);
    void unlisten(std::uint64_t key);

private:
    struct subscriber
    {
        std::uint64_t key;
        journal_change kind;
        listener on_change;
    };
    using listener_list = std::vector<subscriber>;

    void notify(journal_changes changes);
    journal_changes change_by_writing() const;
    journal_chunk chunk_after(sequence_number after, std::size_t end) const;

    chat_request const request_;
    mutable ranked_mutex mutex_{lock_rank::journal};
    instance_id owner_;
    generation_lineage lineage_;
    attempt_token current_;
    std::vector<std::string> tokens_;
    std::optional<finish_reason> finish_;
    std::optional<refusal_reason> failure_;
    bool held_ = false;
    std::size_t released_ = 0; ///< tokens that readers may see while held
    std::uint64_t delivered_ = 0;
    time_point last_read_{};
    std::shared_ptr<listener_list const> listeners_ = std::make_shared<listener_list const>();
    std::uint64_t next_listener_ = 1;
};

using journal_ptr = std::shared_ptr<journal>;

/// The journals that this instance holds, as owner or as replica.
///
/// Thread-safe; takes `lock_rank::journal_table`.
class journal_table
{
public:
    /// @return null when the id is in use
    journal_ptr open(chat_request request, instance_id owner, generation_tag generation);

    journal_ptr find(organisation_id const& organisation, request_id const& id) const;

    /// Unfinished journals whose owner is `owner`.
    std::vector<journal_ptr> unfinished_of(instance_id const& owner) const;

    /// Notes that a journal has ended; it is kept for `kept_for` from `now` on.
    void retire(journal_ptr const& ended, time_point now, duration kept_for);

    /// Drops the journals whose time is over. @return how many
    std::size_t expire(time_point now);

    std::size_t size() const;

private:
    struct key
    {
        organisation_id organisation;
        request_id id;
        friend bool operator==(key const&, key const&) = default;
    };
    struct key_hash
    {
        std::size_t operator()(key const& k) const;
    };
    struct retired
    {
        key id;
        time_point until;
    };

    mutable ranked_mutex mutex_{lock_rank::journal_table};
    std::unordered_map<key, journal_ptr, key_hash> journals_;
    std::vector<retired> retired_;
};

} // namespace auburnweir::state

#endif
