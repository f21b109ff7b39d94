/// Prints the messages and rows of `message_samples.hpp` as this build writes them: a line each,
/// with the name and the bytes in hexadecimal.

#include "protocol/duty_record_codec.hpp"
#include "protocol/peer_message.hpp"
#include "protocol/quarantine_record_codec.hpp"
#include "support/message_samples.hpp"

#include <iomanip>
#include <iostream>
#include <string>

namespace
{

void print(char const* name, std::string const& bytes)
{
    std::cout << name << ' ' << std::hex << std::setfill('0');
    for (unsigned char const byte : bytes)
        std::cout << std::setw(2) << static_cast<unsigned>(byte);
    std::cout << '\n';
}

} // namespace

int main()
{
    using namespace auburnweir;
    print("report", protocol::encode_frame({tests::sample_report()}));
    print("report_response", protocol::encode_frame({tests::sample_response()}));
    print("duty_row", protocol::encode_duty_record(tests::sample_duty_record()));
    print("quarantine_row", protocol::encode_quarantine_record(tests::sample_quarantine_record()));
}
