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

/// Consecutive tokens of an answer, from `first` on.
struct journal_chunk
{
    sequence_number first{1};
    std::vector<std::string> tokens;
    std::optional<finish_reason> finish; ///< set on the chunk that reaches the answer's end
};

/// Identifies the tokens that one owner generated; unique to the owner and the request.
using generation_tag = strong_id<struct generation_unit>;

/// One generation of an answer; its tokens end at `upto`.
struct generation_span
{
    generation_tag tag;
    sequence_number upto; ///< `open_end` while the generation is in progress

    friend bool operator==(generation_span const&, generation_span const&) = default;
};

constexpr sequence_number open_end{UINT64_MAX};

/// Generations of one answer, oldest first.
using generation_lineage = std::vector<generation_span>;

/// Position after which a reader resumes: a token's number and the generation it came from.
struct resume_point
{
    generation_tag generation; ///< empty when the reader does not state it
    sequence_number after;
};

/// Result of appending to a journal.
enum class append_result : std::uint8_t
{
    appended,
    duplicate,  ///< the journal has all tokens already
    gap,        ///< tokens before `first` are missing; nothing was changed
    superseded, ///< the attempt is no longer the current one; nothing was changed
    diverged,   ///< a token differs from the journal's; nothing was changed
    closed      ///< the answer has ended; nothing was changed
};

/// Kind of change of a journal; values combine to a set.
enum class journal_change : std::uint8_t
{
    written = 1,  ///< tokens or the end were added, which a replica lacks
    visible = 2,  ///< readers can read more, or the owner changed
    delivered = 4 ///< the caller's connection accepted more tokens
};

/// Set of `journal_change` values.
using journal_changes = std::uint8_t;

constexpr journal_changes operator|(journal_change a, journal_change b)
{
    return static_cast<journal_changes>(static_cast<int>(a) | static_cast<int>(b));
}

constexpr bool includes(journal_changes all, journal_change one)
{
    return (all & static_cast<journal_changes>(one)) != 0;
}

/// The answer to one chat request so far, kept until it expires.
///
/// Only the current attempt may append, so that late responses of an earlier attempt cannot mix
/// into the answer. While the journal is held, readers get only released tokens, that is tokens
/// that its replica has. Thread-safe; takes `lock_rank::journal`.
class journal
{
public:
    using listener = std::function<void()>;

    /// @param generation  tag of the tokens that the owner generates
    journal(chat_request request, instance_id owner, generation_tag generation);

    chat_request const& request() const { return request_; }

    /// Instance that drives the request.
    instance_id owner() const;

    /// Makes `owner` continue after the last token, as a new generation.
    void adopt(instance_id owner, generation_tag generation);

    generation_lineage lineage() const;

    /// Replaces the lineage by a peer's, unless that is empty.
    void replace_lineage(generation_lineage lineage);

    /// True when the tokens up to `point` are those that the reader received.
    bool can_resume(resume_point const& point) const;

    /// Makes `token` the current attempt; earlier ones are superseded.
    void begin_attempt(attempt_token const& token);

    append_result append(attempt_token const& attempt, std::string token);
    append_result finish(attempt_token const& attempt, finish_reason reason);

    /// Ends the answer as failed, whichever attempt is current, and stores the reason.
    append_result fail(refusal_reason reason);

    /// Appends a peer's chunk; tokens that the journal has already must be equal and are skipped.
    append_result merge(journal_chunk const& chunk);

    /// Withholds further tokens from readers until `release`.
    void hold();

    /// Makes tokens up to `upto` readable, and the end if `upto` is the last token.
    void release(sequence_number upto);

    /// Makes all present and future tokens readable.
    void release_all();

    /// Hands the request to `owner`: removes tokens that were not released and supersedes the
    /// current attempt. Further tokens arrive through `merge`.
    void yield_to(instance_id owner);

    /// Released tokens after `after`, at most `limit` of them.
    journal_chunk read_after(sequence_number after, std::size_t limit) const;

    /// Tokens after `after`, released or not, for the replica.
    journal_chunk read_unreleased_after(sequence_number after) const;

    /// Sequence number of the last token; 0 when there is none.
    sequence_number last() const;
    std::optional<finish_reason> finished() const;

    /// Why the answer failed; null when it did not or this instance does not know the reason.
    std::optional<refusal_reason> failure() const;

    /// Records that a reader was active at `now`.
    void record_read(time_point now);
    time_point last_read() const;

    /// Records that the caller's connection accepted tokens up to `upto`; bounds reading ahead.
    void record_delivered(sequence_number upto);

    /// Number of tokens that are not delivered yet.
    std::uint64_t undelivered() const;

    /// All tokens so far, concatenated.
    std::string text() const;

    /// Calls `on_change` after each change of `kind`, on the thread that made the change and
    /// without holding the lock. @return key for `unlisten`
    std::uint64_t listen(journal_change kind, listener on_change);
    void unlisten(std::uint64_t key);

private:
    struct subscriber
    {
        std::uint64_t key;
        journal_change kind;
        listener on_change;
    };
    using subscriber_list = std::vector<subscriber>;

    void notify(journal_changes changes);
    journal_changes changes_of_write() const;
    journal_chunk chunk_after(sequence_number after, std::size_t end) const;

    chat_request const request_;
    mutable ranked_mutex mutex_{lock_rank::journal};
    instance_id owner_;
    generation_lineage lineage_;
    attempt_token current_attempt_;
    std::vector<std::string> tokens_;
    std::optional<finish_reason> finish_;
    std::optional<refusal_reason> failure_;
    bool held_ = false;
    std::size_t released_ = 0; ///< number of tokens that are readable while held
    std::uint64_t delivered_ = 0;
    time_point last_read_{};
    std::shared_ptr<subscriber_list const> subscribers_ = std::make_shared<subscriber_list const>();
    std::uint64_t next_subscriber_key_ = 1;
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

    /// Unfinished journals that `owner` drives.
    std::vector<journal_ptr> unfinished_of(instance_id const& owner) const;

    /// Records that a journal has ended; `expire` removes it once `retention` has passed.
    void retire(journal_ptr const& ended, time_point now, duration retention);

    /// Removes journals whose retention has passed. @return number of removed journals
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
    struct retired_journal
    {
        key id;
        time_point expires_at;
    };

    mutable ranked_mutex mutex_{lock_rank::journal_table};
    std::unordered_map<key, journal_ptr, key_hash> journals_;
    std::vector<retired_journal> retired_;
};

} // namespace auburnweir::state

#endif
