#ifndef CHIVEDEAL_OPERATORS_DECLARED_FILE_HPP
#define CHIVEDEAL_OPERATORS_DECLARED_FILE_HPP

#include <string>

namespace chivedeal::operators {

/// One declaration as a file of a directory under version control.
struct declared_file
{
    std::string path;
    /// JSON object.
    std::string body;

    friend bool operator==(const declared_file&, const declared_file&) = default;
};

} // namespace chivedeal::operators

#endif
