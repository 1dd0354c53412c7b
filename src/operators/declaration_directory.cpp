#include "chivedeal/operators/declaration_directory.hpp"

#include "chivedeal/operators/declared_file.hpp"
#include "chivedeal/state/declaration_parser.hpp"
#include "chivedeal/state/declaration_path.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace chivedeal::operators {

namespace {

namespace fs = std::filesystem;

std::vector<fs::path> json_files(const fs::path& root, std::vector<error>& faults)
{
    std::vector<fs::path> files;
    std::error_code failure;
    for (fs::recursive_directory_iterator next(root, failure), end; !failure && next != end;
         next.increment(failure))
        if (next->is_regular_file() && next->path().extension() == ".json")
            files.push_back(next->path());
    if (failure)
        faults.push_back({.code = result_code::io_error,
                          .message = absl::StrCat(root.string(), ": ", failure.message())});
    std::sort(files.begin(), files.end());
    return files;
}

declared_file read_file(const fs::path& root, const fs::path& file)
{
    fs::path relative = file.lexically_relative(root);
    relative.replace_extension();
    std::ifstream in(file);
    return {.path = "/" + relative.generic_string(),
            .body = std::string(std::istreambuf_iterator<char>(in), {})};
}

error check(const declared_file& file)
{
    const auto path = state::parse_declaration_path(file.path);
    if (!is_ok(path))
        return get_error(path);
    const auto parsed = state::parse_declaration(get_value(path), file.body);
    return is_ok(parsed) ? error{} : get_error(parsed);
}

} // namespace

std::variant<std::vector<declared_file>, std::vector<error>>
read_declarations(const std::string& directory)
{
    std::vector<error> faults;
    std::vector<declared_file> files;
    for (const fs::path& file : json_files(directory, faults)) {
        declared_file one = read_file(directory, file);
        if (const error fault = check(one); fault.code != result_code::ok)
            faults.push_back(
                {.code = fault.code, .message = absl::StrCat(file.string(), ": ", fault.message)});
        files.push_back(std::move(one));
    }
    if (!faults.empty())
        return faults;
    return files;
}

} // namespace chivedeal::operators
