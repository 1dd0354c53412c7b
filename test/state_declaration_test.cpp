#include "chivedeal/state/declaration_parser.hpp"
#include "chivedeal/state/declaration_path.hpp"

#include <gtest/gtest.h>

#include <string>

using namespace chivedeal;        // NOLINT(google-build-using-namespace)
using namespace chivedeal::state; // NOLINT(google-build-using-namespace)

namespace {

error parse_error(const std::string& path, const std::string& body)
{
    const auto parsed = parse_declaration_path(path);
    if (!is_ok(parsed))
        return get_error(parsed);
    const auto value = parse_declaration(get_value(parsed), body);
    return is_ok(value) ? error{} : get_error(value);
}

template<class T>
T parse_as(const std::string& path, const std::string& body)
{
    return std::get<T>(get_value(parse_declaration(get_value(parse_declaration_path(path)), body)));
}

} // namespace

// Guards against paths that escape their subtree or contain empty or invalid names.
TEST(declaration_path, rejects_malformed_paths)
{
    for (const char* path :
         {"", "/", "teams/a/services/b", "/teams/a/services", "/teams/a/services/b/c",
          "/teams/a/versions/b", "/teams/a/versions/b/c/d", "/teams/a/other/b",
          "/teams//services/b", "/teams/a/services/..", "/teams/a/services/B",
          "/teams/a/services/b ", "/x/a/services/b"})
        EXPECT_EQ(parse_error(path, "{}").code, result_code::invalid_path) << path;
}

TEST(declaration_path, parses_version_path)
{
    const auto parsed = parse_declaration_path("/teams/books/versions/catalogue/v2");
    ASSERT_TRUE(is_ok(parsed));
    EXPECT_EQ(get_value(parsed), (declaration_path{.kind = declaration_kind::version,
                                                   .team = team_id("books"),
                                                   .name = "catalogue",
                                                   .version = "v2"}));
}

// Guards against fields that are dropped or read with the wrong unit.
TEST(declaration_parser, reads_every_field)
{
    EXPECT_EQ(parse_as<service>("/teams/t/services/s",
                                R"({"kind": "plain", "latency_target_ms": 900, "token_gap_ms": 40,
                                    "checks_fencing": true, "routes": ["a"],
                                    "min_endpoints": 2, "max_endpoints": 5})"),
              (service{.name = service_id("s"),
                       .team = team_id("t"),
                       .kind = service_kind::plain,
                       .latency_target = absl::Milliseconds(900),
                       .token_gap = absl::Milliseconds(40),
                       .checks_fencing = true,
                       .routes = {"a"},
                       .min_endpoints = 2,
                       .max_endpoints = 5}));
    EXPECT_EQ(parse_as<workspace>("/teams/t/workspaces/w",
                                  R"({"rate": 2.5, "burst": 5, "priority": 0, "concurrency": 7})"),
              (workspace{.name = workspace_id("w"),
                         .team = team_id("t"),
                         .rate = 2.5,
                         .burst = 5,
                         .priority = 0,
                         .concurrency = 7}));
    const auto move = parse_as<version_move>(
        "/teams/t/moves/s",
        R"({"version": "v2", "deadline": "2026-12-04T10:00:00+01:00", "bake_s": 5, "max_share": 0.1})");
    EXPECT_EQ(move.to, version_id("v2"));
    EXPECT_EQ(move.deadline, absl::FromUnixSeconds(1'796'374'800));
    EXPECT_EQ(move.bake, absl::Seconds(5));
    EXPECT_EQ(move.max_unproven_share, 0.1);
}

// Guards against a misspelled or misplaced field that is silently ignored.
TEST(declaration_parser, reports_invalid_field_name)
{
    struct faulty_body
    {
        const char* path;
        const char* body;
        const char* field;
    };
    for (const auto& [path, body, field] : std::initializer_list<faulty_body>{
             {"/teams/t/services/s", "[]", "body"},
             {"/teams/t/services/s", "{", "body"},
             {"/teams/t/services/s", "{}", "kind"},
             {"/teams/t/services/s", R"({"kind": "other"})", "kind"},
             {"/teams/t/services/s", R"({"kind": "plain", "latency_ms": 1})", "latency_ms"},
             {"/teams/t/services/s", R"({"kind": "plain", "token_gap_ms": 0})", "token_gap_ms"},
             {"/teams/t/services/s", R"({"kind": "plain", "routes": [1]})", "routes"},
             {"/teams/t/services/s", R"({"kind": "plain", "max_endpoints": -1})", "max_endpoints"},
             {"/teams/t/services/s",
              R"({"kind": "plain", "min_endpoints": 1.5, "max_endpoints": 2})", "min_endpoints"},
             {"/teams/t/services/s", R"({"kind": "plain", "min_endpoints": 1})", "min_endpoints"},
             {"/teams/t/workspaces/w", R"({"priority": 10})", "priority"},
             {"/teams/t/workspaces/w", R"({"priority": 1.5})", "priority"},
             {"/teams/t/workspaces/w", R"({"rate": -1})", "rate"},
             {"/teams/t/workspaces/w", R"({"concurrency": 1e30})", "concurrency"},
             {"/teams/t/versions/s/v", R"({"weights_bytes": -1})", "weights_bytes"},
             {"/teams/t/moves/s", R"({"deadline": "2026-12-04T10:00:00Z"})", "version"},
             {"/teams/t/moves/s", R"({"version": "v", "deadline": "tomorrow"})", "deadline"},
             {"/teams/t/moves/s", R"({"version": "v", "deadline": "infinite-future"})", "deadline"},
         }) {
        const error found = parse_error(path, body);
        EXPECT_EQ(found.code, result_code::invalid_declaration) << body;
        EXPECT_NE(found.message.find("\"" + std::string(field) + "\""), std::string::npos)
            << body << ": " << found.message;
    }
}
