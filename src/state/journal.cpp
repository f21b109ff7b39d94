#include "state/journal.hpp"

#include <algorithm>

namespace auburnweir::state
{

std::string_view name_of(finish_reason reason)
{
    switch (reason)
    {
    case finish_reason::stop:
        return "stop";
    case finish_reason::length:
        return "length";
    case finish_reason::failed:
        break;
    }
    return "failed";
}

journal::journal(chat_request request, instance_id owner, generation_tag generation)
    : request_(std::move(request))
    , owner_(std::move(owner))
    , lineage_{{std::move(generation), open_end}}
{
}

instance_id journal::owner() const
{
    ranked_lock lock(mutex_);
    return owner_;
}

void journal::adopt(instance_id owner, generation_tag generation)
{
    ranked_lock lock(mutex_);
    owner_ = std::move(owner);
    lineage_.back().upto = sequence_number{tokens_.size()};
    lineage_.push_back({std::move(generation), open_end});
}

generation_lineage journal::lineage() const
{
    ranked_lock lock(mutex_);
    return lineage_;
}

void journal::replace_lineage(generation_lineage lineage)
{
    ranked_lock lock(mutex_);
    if (!lineage.empty())
        lineage_ = std::move(lineage);
}

bool journal::can_resume(resume_point const& point) const
{
    ranked_lock lock(mutex_);
    if (point.after.count() == 0)
        return true;
    if (point.generation.empty())
        return point.after <= lineage_.front().upto;
    auto const span = std::find_if(
        lineage_.begin(), lineage_.end(),
        [&](generation_span const& s) { return s.tag == point.generation; });
    return span != lineage_.end() && point.after <= span->upto;
}

void journal::begin_attempt(attempt_token const& token)
{
    ranked_lock lock(mutex_);
    current_attempt_ = token;
}

append_result journal::append(attempt_token const& attempt, std::string token)
{
    journal_changes changes = 0;
    {
        ranked_lock lock(mutex_);
        if (attempt != current_attempt_)
            return append_result::superseded;
        if (finish_)
            return append_result::closed;
        tokens_.push_back(std::move(token));
        changes = changes_of_write();
    }
    notify(changes);
    return append_result::appended;
}

append_result journal::finish(attempt_token const& attempt, finish_reason reason)
{
    journal_changes changes = 0;
    {
        ranked_lock lock(mutex_);
        if (attempt != current_attempt_)
            return append_result::superseded;
        if (finish_)
            return append_result::closed;
        finish_ = reason;
        changes = changes_of_write();
    }
    notify(changes);
    return append_result::appended;
}

append_result journal::fail(refusal_reason reason)
{
    journal_changes changes = 0;
    {
        ranked_lock lock(mutex_);
        if (finish_)
            return append_result::closed;
        finish_ = finish_reason::failed;
        failure_ = reason;
        current_attempt_ = attempt_token{};
        changes = changes_of_write();
    }
    notify(changes);
    return append_result::appended;
}

append_result journal::merge(journal_chunk const& chunk)
{
    journal_changes changes = 0;
    {
        ranked_lock lock(mutex_);
        auto const size = tokens_.size();
        auto const first = chunk.first.count();
        if (first == 0 || first > size + 1)
            return append_result::gap;
        auto const end = first - 1 + chunk.tokens.size();
        auto const overlap_end = std::min<std::size_t>(size, end);
        for (auto i = first - 1; i < overlap_end; ++i)
            if (tokens_[i] != chunk.tokens[i - (first - 1)])
                return append_result::diverged;
        bool const adds_tokens = end > size;
        bool const ends = chunk.finish && !finish_ && end >= size;
        if (finish_ && adds_tokens)
            return append_result::closed;
        if (!adds_tokens && !ends)
            return append_result::duplicate;
        for (auto i = size; i < end; ++i)
            tokens_.push_back(chunk.tokens[i - (first - 1)]);
        if (ends)
            finish_ = chunk.finish;
        changes = changes_of_write();
    }
    notify(changes);
    return append_result::appended;
}

void journal::hold()
{
    ranked_lock lock(mutex_);
    held_ = true;
    released_ = tokens_.size();
}

void journal::release(sequence_number upto)
{
    {
        ranked_lock lock(mutex_);
        released_ = std::max<std::size_t>(released_, std::min(upto.count(), tokens_.size()));
    }
    notify(static_cast<journal_changes>(journal_change::visible));
}

void journal::release_all()
{
    {
        ranked_lock lock(mutex_);
        held_ = false;
    }
    notify(static_cast<journal_changes>(journal_change::visible));
}

void journal::yield_to(instance_id owner)
{
    {
        ranked_lock lock(mutex_);
        if (held_ && !finish_)
            tokens_.resize(released_);
        held_ = false;
        current_attempt_ = attempt_token{};
        owner_ = std::move(owner);
    }
    notify(journal_change::written | journal_change::visible);
}

journal_chunk journal::chunk_after(sequence_number after, std::size_t end) const
{
    journal_chunk chunk;
    chunk.first = after + sequence_number{1};
    auto const begin = std::min<std::size_t>(after.count(), end);
    chunk.tokens.assign(
        tokens_.begin() + static_cast<std::ptrdiff_t>(begin),
        tokens_.begin() + static_cast<std::ptrdiff_t>(end));
    if (end == tokens_.size())
        chunk.finish = finish_;
    return chunk;
}

journal_chunk journal::read_after(sequence_number after, std::size_t limit) const
{
    ranked_lock lock(mutex_);
    auto const visible = held_ ? released_ : tokens_.size();
    auto const wanted = std::min<std::size_t>(after.count(), visible) + limit;
    return chunk_after(after, std::min(visible, wanted));
}

journal_chunk journal::read_unreleased_after(sequence_number after) const
{
    ranked_lock lock(mutex_);
    return chunk_after(after, tokens_.size());
}

sequence_number journal::last() const
{
    ranked_lock lock(mutex_);
    return sequence_number{tokens_.size()};
}

std::optional<finish_reason> journal::finished() const
{
    ranked_lock lock(mutex_);
    return finish_;
}

std::optional<refusal_reason> journal::failure() const
{
    ranked_lock lock(mutex_);
    return failure_;
}

void journal::record_read(time_point now)
{
    ranked_lock lock(mutex_);
    last_read_ = std::max(last_read_, now);
}

time_point journal::last_read() const
{
    ranked_lock lock(mutex_);
    return last_read_;
}

void journal::record_delivered(sequence_number upto)
{
    {
        ranked_lock lock(mutex_);
        if (upto.count() <= delivered_)
            return;
        delivered_ = upto.count();
    }
    notify(static_cast<journal_changes>(journal_change::delivered));
}

std::uint64_t journal::undelivered() const
{
    ranked_lock lock(mutex_);
    return tokens_.size() > delivered_ ? tokens_.size() - delivered_ : 0;
}

std::string journal::text() const
{
    ranked_lock lock(mutex_);
    std::string all;
    for (auto const& t : tokens_)
        all += t;
    return all;
}

std::uint64_t journal::listen(journal_change kind, listener on_change)
{
    ranked_lock lock(mutex_);
    auto const key = next_subscriber_key_++;
    auto next = *subscribers_;
    next.push_back({key, kind, std::move(on_change)});
    subscribers_ = std::make_shared<subscriber_list const>(std::move(next));
    return key;
}

void journal::unlisten(std::uint64_t key)
{
    ranked_lock lock(mutex_);
    auto next = *subscribers_;
    std::erase_if(next, [&](subscriber const& s) { return s.key == key; });
    subscribers_ = std::make_shared<subscriber_list const>(std::move(next));
}

journal_changes journal::changes_of_write() const
{
    auto const written = static_cast<journal_changes>(journal_change::written);
    return held_ ? written : journal_change::written | journal_change::visible;
}

void journal::notify(journal_changes changes)
{
    std::shared_ptr<subscriber_list const> subscribers;
    {
        ranked_lock lock(mutex_);
        subscribers = subscribers_;
    }
    for (auto const& s : *subscribers)
        if (includes(changes, s.kind))
            s.on_change();
}

std::size_t journal_table::key_hash::operator()(key const& k) const
{
    constexpr std::size_t fnv_prime = 1099511628211U;
    return std::hash<organisation_id>{}(k.organisation) * fnv_prime ^ std::hash<request_id>{}(k.id);
}

journal_ptr journal_table::open(chat_request request, instance_id owner, generation_tag generation)
{
    key k{request.header.organisation, request.header.id};
    auto opened =
        std::make_shared<journal>(std::move(request), std::move(owner), std::move(generation));
    ranked_lock lock(mutex_);
    auto const [it, inserted] = journals_.emplace(std::move(k), opened);
    return inserted ? opened : nullptr;
}

journal_ptr journal_table::find(organisation_id const& organisation, request_id const& id) const
{
    ranked_lock lock(mutex_);
    auto const it = journals_.find(key{organisation, id});
    return it == journals_.end() ? nullptr : it->second;
}

std::vector<journal_ptr> journal_table::unfinished_of(instance_id const& owner) const
{
    std::vector<journal_ptr> found;
    ranked_lock lock(mutex_);
    for (auto const& [k, j] : journals_)
        if (j->owner() == owner && !j->finished())
            found.push_back(j);
    return found;
}

void journal_table::retire(journal_ptr const& ended, time_point now, duration retention)
{
    auto const& header = ended->request().header;
    ranked_lock lock(mutex_);
    retired_.push_back({key{header.organisation, header.id}, now + retention});
}

std::size_t journal_table::expire(time_point now)
{
    ranked_lock lock(mutex_);
    auto const first_expired = std::partition(
        retired_.begin(), retired_.end(),
        [&](retired_journal const& r) { return now < r.expires_at; });
    auto const removed = static_cast<std::size_t>(retired_.end() - first_expired);
    std::for_each(
        first_expired, retired_.end(), [&](retired_journal const& r) { journals_.erase(r.id); });
    retired_.erase(first_expired, retired_.end());
    return removed;
}

std::size_t journal_table::size() const
{
    ranked_lock lock(mutex_);
    return journals_.size();
}

} // namespace auburnweir::state
