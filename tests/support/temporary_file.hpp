#ifndef AUBURNWEIR_TESTS_TEMPORARY_FILE_HPP
#define AUBURNWEIR_TESTS_TEMPORARY_FILE_HPP

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace auburnweir::tests
{

/// A file in the temporary folder, removed by the destructor. Its name is unique because test
/// processes run in parallel.
class temporary_file
{
public:
    /// @throws std::runtime_error when the file can't be created
    explicit temporary_file(std::string const& text)
        : path_((std::filesystem::temp_directory_path() / "auburnweir-XXXXXX").string())
    {
        auto const descriptor = ::mkstemp(path_.data());
        if (descriptor < 0)
            throw std::runtime_error("can't create a temporary file: " + path_);
        ::close(descriptor);
        std::ofstream(path_) << text;
    }

    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;

    ~temporary_file()
    {
        std::error_code ignored;
        std::filesystem::remove(path_, ignored);
    }

    std::string const& path() const { return path_; }

private:
    std::string path_;
};

/// A folder in the temporary folder, removed with its files by the destructor.
class temporary_folder
{
public:
    /// @throws std::runtime_error when the folder can't be created
    temporary_folder()
        : path_((std::filesystem::temp_directory_path() / "auburnweir-XXXXXX").string())
    {
        if (!::mkdtemp(path_.data()))
            throw std::runtime_error("can't create a temporary folder: " + path_);
    }

    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }

    std::string const& path() const { return path_; }

private:
    std::string path_;
};

} // namespace auburnweir::tests

#endif
