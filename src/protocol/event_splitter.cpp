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
    while (scanned_ < buffer_.size())
    {
        if (std::exchange(follows_cr_, false))
            end_line_after_cr();
        else if (std::exchange(skips_lf_, false) && buffer_[scanned_] == '\n')
            extend_last_line_end();
        else
            find_line_end();
    }
}

void event_splitter::end_line_after_cr()
{
    auto const end = scanned_ - 1;
    bool const is_crlf = buffer_[scanned_] == '\n';
    if (is_crlf)
        ++scanned_;
    else
        uses_bare_cr_ = true;
    end_line(end, scanned_);
}

void event_splitter::extend_last_line_end()
{
    line_begin_ = ++scanned_;
    if (!event_has_fields_)
        complete_ = line_begin_;
}

void event_splitter::find_line_end()
{
    auto const end = buffer_.find_first_of("\r\n", scanned_);
    if (end == std::string::npos)
    {
        scanned_ = buffer_.size();
        return;
    }
    scanned_ = end + 1;
    bool const is_cr = buffer_[end] == '\r';
    follows_cr_ = is_cr && !uses_bare_cr_;
    if (follows_cr_)
        return;
    skips_lf_ = is_cr;
    end_line(end, scanned_);
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
