#include "protocol/sse.hpp"

namespace auburnweir::protocol
{

bool sse_parser::feed(std::string_view bytes)
{
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    buffer_.append(bytes);
    return buffer_.size() + data_.size() <= max_sse_event_bytes + bytes.size();
}

std::optional<std::string_view> sse_parser::next()
{
    bool has_data = false;
    auto scan = consumed_;
    data_.clear();
    for (;;)
    {
        auto const end = buffer_.find('\n', scan);
        if (end == std::string::npos)
            return std::nullopt;
        auto line = std::string_view{buffer_}.substr(scan, end - scan);
        scan = end + 1;
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty())
        {
            consumed_ = scan;
            if (has_data)
                return std::string_view{data_};
            continue;
        }
        if (!line.starts_with("data:"))
            continue;
        line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
        if (has_data)
            data_ += '\n';
        data_.append(line);
        has_data = true;
    }
}

void append_sse_event(std::string& out, std::string_view id, std::string_view data)
{
    if (!id.empty())
    {
        out += "id: ";
        out.append(id);
        out += '\n';
    }
    out += "data: ";
    out.append(data);
    out += "\n\n";
}

} // namespace auburnweir::protocol
