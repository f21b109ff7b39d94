#ifndef AUBURNWEIR_PROGRAMS_COMMAND_LINE_HPP
#define AUBURNWEIR_PROGRAMS_COMMAND_LINE_HPP

#include <popt.h>
#include <string>
#include <vector>

namespace auburnweir::programs
{

/// Parses a command line with popt.
class command_line
{
public:
    /// @param options  table that ends with POPT_TABLEEND
    command_line(int argc, char** argv, poptOption const* options, char const* usage)
        : context_(poptGetContext(
              nullptr, argc, const_cast<char const**>(argv), options,
              0)) // popt does not modify the arguments
    {
        poptSetOtherOptionHelp(context_, usage);
    }

    command_line(command_line const&) = delete;
    command_line& operator=(command_line const&) = delete;

    ~command_line() { poptFreeContext(context_); }

    /// Reads all options. @return an empty text, or the error
    std::string parse()
    {
        int result = 0;
        while ((result = poptGetNextOpt(context_)) >= 0)
        {
        }
        if (result == -1)
            return {};
        return std::string{poptBadOption(context_, POPT_BADOPTION_NOALIAS)} + ": " +
               poptStrerror(result);
    }

    /// Returns the arguments that are not options.
    std::vector<std::string> arguments()
    {
        std::vector<std::string> all;
        while (auto const* argument = poptGetArg(context_))
            all.emplace_back(argument);
        return all;
    }

private:
    poptContext context_;
};

} // namespace auburnweir::programs

#endif
