#include "protocol/event_splitter.hpp"

#include <utility>

namespace auburnweir::protocol
{

bool event_splitter::feed(std::string_view bytes)
{
    buffer_.append(bytes);
    scan_lines();
    return buffer_.size() - complete_ <= max_event_bytes;
}

std::string event_splitter::take_complete_events()
{
    last_content_events_ = std::exchange(content_events_, 0);
    if (complete_ == 0)
        return {};
    // The rest is short, so it is copied and not the events.
    auto rest = buffer_.substr(complete_);
    buffer_.resize(complete_);
    scanned_ -= complete_;
    line_begin_ -= complete_;
    complete_ = 0;
    return std::exchange(buffer_, std::move(rest));
}

std::string event_splitter::take_remainder()
{
    complete_ = 0;
    scanned_ = 0;
    line_begin_ = 0;
    follows_cr_ = false;
    event_has_fields_ = false;
    return std::exchange(buffer_, {});
}

void event_splitter::scan_lines()
{
    constexpr std::string_view line_end_characters = "\r\n";
    while (scanned_ < buffer_.size())
    {
        if (std::exchange(follows_cr_, false))
        {
            bool const is_crlf = buffer_[scanned_] == '\n';
            uses_bare_cr_ = uses_bare_cr_ || !is_crlf;
            auto const end = scanned_ - 1;
            scanned_ += is_crlf ? 1 : 0;
            end_line(end, scanned_);
            continue;
        }
        bool const skips_lf = std::exchange(skips_lf_, false) && buffer_[scanned_] == '\n';
        if (skips_lf)
        {
            line_begin_ = ++scanned_;
            if (!event_has_fields_)
                complete_ = line_begin_;
            continue;
        }
        auto const end = buffer_.find_first_of(line_end_characters, scanned_);
        scanned_ = end == std::string::npos ? buffer_.size() : end + 1;
        if (end == std::string::npos)
            return;
        if (buffer_[end] == '\r' && !uses_bare_cr_)
        {
            follows_cr_ = true;
            continue;
        }
        skips_lf_ = buffer_[end] == '\r';
        end_line(end, scanned_);
    }
}

void event_splitter::end_line(std::size_t end, std::size_t next_begin)
{
    auto const line = std::string_view{buffer_}.substr(line_begin_, end - line_begin_);
    line_begin_ = next_begin;
    if (line.empty())
        end_event(next_begin);
    else if (!line.starts_with(':'))
        record_field(line);
}

void event_splitter::end_event(std::size_t next_begin)
{
    complete_ = next_begin;
    if (std::exchange(event_has_fields_, false))
        ++content_events_;
    if (std::exchange(event_has_id_, false))
        last_id_ = std::move(event_id_);
}

void event_splitter::record_field(std::string_view line)
{
    constexpr std::string_view id_field = "id:";
    event_has_fields_ = true;
    if (!line.starts_with(id_field))
        return;
    line.remove_prefix(id_field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    event_id_ = std::string{line};
    event_has_id_ = true;
}

} // namespace auburnweir::protocol
