#ifndef AUBURNWEIR_PROGRAMS_PROGRAM_SUPPORT_HPP
#define AUBURNWEIR_PROGRAMS_PROGRAM_SUPPORT_HPP

#include "state/finding.hpp"

#include <fstream>
#include <iterator>
#include <string>

/// Exit codes and functions that the programs share.
namespace auburnweir::programs
{

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

/// Reads a file; adds a finding to `out` when it can't be opened.
inline std::string read_file(std::string const& path, state::findings& out)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        out.push_back({path, 0, "", "can't be read"});
        return {};
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace auburnweir::programs

#endif
