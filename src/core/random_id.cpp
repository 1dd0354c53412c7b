#include "chivedeal/core/random_id.hpp"

#include "absl/strings/str_cat.h"

#include <openssl/rand.h>

#include <array>

namespace chivedeal {

std::string random_id()
{
    std::array<unsigned char, 12> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string text;
    for (const unsigned char byte : bytes)
        absl::StrAppend(&text, absl::Hex(byte, absl::kZeroPad2));
    return text;
}

} // namespace chivedeal
