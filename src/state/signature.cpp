#include "chivedeal/state/signature.hpp"

#include "chivedeal/state/record.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/string_view.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdint>

namespace chivedeal::state {

namespace {

// Domain separation: prevents reuse of these signatures for another purpose of a team's key.
constexpr const char* purpose = "chivedeal declaration change 1";

void append_number(std::string& out, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((value >> shift) & 0xffU));
}

void append_part(std::string& out, const std::string& part)
{
    append_number(out, part.size());
    out += part;
}

std::string signed_bytes(const declaration_change& change, const change_id& id)
{
    std::string out;
    append_part(out, purpose);
    append_part(out, change.team.str());
    append_part(out, change.path);
    append_number(out, change.expected_version);
    // Distinguishes a deletion from an empty body.
    out.push_back(change.body ? '\1' : '\0');
    append_part(out, change.body.value_or(""));
    append_part(out, id.str());
    return out;
}

} // namespace

std::string sign_change(const declaration_change& change, const change_id& id,
                        const std::string& key)
{
    const std::string message = signed_bytes(change, id);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    // Fetch once, because OpenSSL 3 would otherwise look up the algorithm for every signature.
    static const EVP_MD* const sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    HMAC(sha256, key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(),
         &size);
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char*>(digest.data()), size));
}

bool verify_change(const declaration_change& change, const change_id& id, const std::string& key)
{
    const std::string expected = sign_change(change, id, key);
    return change.signature.size() == expected.size() &&
           CRYPTO_memcmp(change.signature.data(), expected.data(), expected.size()) == 0;
}

} // namespace chivedeal::state
