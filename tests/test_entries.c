/* Entries of the list of servers that another writer left or spoilt: they name no server, and the others hold. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/platform.h"
#include "rng.h"
#include "test.h"

#define BODY_MAX 16384

/* An entry as a server of the platform writes it, field by field: each bad case replaces or drops one. */
typedef struct field_t {
    const char* name;
    const char* value; /* JSON text */
} field_t;

static const field_t good[] = {
    {"service", "\"s\""},     {"address", "\"10.0.0.9:80\""}, {"zone", "\"z\""},          {"version", "\"v1\""},
    {"slots", "48"},          {"state", "\"ready\""},         {"cold_remaining_ms", "0"}, {"seq", "4"},
    {"born", "1767744000123"}};

#define FIELDS (sizeof(good) / sizeof(good[0]))
#define STARTED (FIELDS - 1)

/* The entry's text with one field replaced; value NULL: left out. field FIELDS: none. */
static void entry_text(char* out, size_t size, size_t field, const char* value) {
    size_t used = (size_t)snprintf(out, size, "{");
    const char* comma = "";
    for (size_t i = 0; i < FIELDS; i++) {
        const char* v = i == field ? value : good[i].value;
        if (v) {
            used += (size_t)snprintf(out + used, size - used, "%s\"%s\":%s", comma, good[i].name, v);
            comma = ",";
        }
    }
    snprintf(out + used, size - used, "}");
}

/* Adds an item with the value, in base64 unless raw. */
static void add_item(char* body, const char* id, const char* value, bool raw) {
    char coded[2048];
    size_t used = strlen(body);
    if (raw) {
        snprintf(coded, sizeof(coded), "%s", value);
    } else {
        sodium_bin2base64(coded, sizeof(coded), (const unsigned char*)value, strlen(value),
                          sodium_base64_VARIANT_ORIGINAL);
    }
    snprintf(body + used, BODY_MAX - used, "%s{\"tls_key\":\"servers/%s\",\"value\":\"%s\",\"revision\":8}",
             body[used - 1] == '[' ? "" : ",", id, coded);
}

/* Reads a list in which the item stands between two good ones. */
static cw_servers_t read_beside_good(const char* id, const char* value, bool raw) {
    char body[BODY_MAX] = "{\"items\":[";
    char whole[512];
    cw_servers_t list = {0};
    source_news_t news = {0};
    entry_text(whole, sizeof(whole), FIELDS, NULL);
    add_item(body, "i-first", whole, false);
    add_item(body, id, value, raw);
    add_item(body, "i-last", whole, false);
    size_t used = strlen(body);
    snprintf(body + used, BODY_MAX - used, "],\"more\":false,\"at\":9}");
    ck_assert_int_eq(platform_source.read_servers(body, strlen(body), &list, &news, NULL), CW_OK);
    return list;
}

static void expect_left_out(const char* id, const char* value, bool raw) {
    cw_servers_t list = read_beside_good(id, value, raw);
    ck_assert_msg(list.count == 2, "taken as a server: %s %s", id, value);
    ck_assert_str_eq(list.items[0].id, "i-first");
    ck_assert_str_eq(list.items[1].id, "i-last");
    cw_servers_free(&list);
}

START_TEST(a_field_that_is_missing_or_of_another_type_names_no_server) {
    static const char* const other_types[] = {"null", "true", "[]", "{}", "-1", "\"\"", "1.5", "\"4 8\"", "1e300"};
    char text[512];
    for (size_t f = 0; f < FIELDS; f++) {
        if (f != STARTED) { /* who writes no start at all is judged with the whole list */
            entry_text(text, sizeof(text), f, NULL);
            expect_left_out("i-odd", text, false);
        }
        for (size_t i = 0; i < sizeof(other_types) / sizeof(other_types[0]); i++) {
            bool text_there = good[f].value[0] == '"';
            bool fits = (strcmp(other_types[i], "\"4 8\"") == 0 && strcmp(good[f].name, "version") == 0) ||
                        (strcmp(other_types[i], "1.5") == 0 && strcmp(good[f].name, "cold_remaining_ms") == 0);
            if (fits || (text_there && strcmp(good[f].name, "version") == 0 && other_types[i][0] == '"')) {
                continue;
            }
            entry_text(text, sizeof(text), f, other_types[i]);
            expect_left_out("i-odd", text, false);
        }
    }
}
END_TEST

START_TEST(values_out_of_range_name_no_server) {
    static const struct {
        size_t field;
        const char* value;
    } cases[] = {
        {0, "\"a-name-of-a-service-that-is-longer-than-any-name-that-this-product-keeps-whole\""},
        {1, "\"10.0.0.9\""},
        {1, "\"10.0.0.9:\""},
        {1, "\"10.0.0.9:0\""},
        {1, "\"10.0.0.9:65536\""},
        {1, "\"10.0.0.9:80x\""},
        {1, "\"10.0.0.900:80\""},
        {1, "\"host.example:80\""},
        {1, "\"10.0.0.9:80                                                        \""},
        {4, "0"},
        {4, "4294967297"},
        {4, "48.0"},
        {5, "\"READY\""},
        {5, "\"gone\""},
        {6, "-0.5"},
        {8, "0"},
        {8, "\"1767744000123\""},
        {8, "1767744000123.5"},
        {8, "9223372036854775808"},
    };
    char text[512];
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        entry_text(text, sizeof(text), cases[i].field, cases[i].value);
        expect_left_out("i-odd", text, false);
    }
}
END_TEST

START_TEST(bytes_that_cannot_be_read_name_no_server) {
    char text[512];
    entry_text(text, sizeof(text), FIELDS, NULL);
    expect_left_out("i-odd", "!!no base64!!", true);
    expect_left_out("i-odd", "e30", true); /* without its padding */
    expect_left_out("i-odd", "", true);
    expect_left_out("i-odd", "[1]", false);
    expect_left_out("i-odd", "7", false);
    expect_left_out("i-odd", "{\"service\":", false);
    expect_left_out("i-odd", "\xff\xfe\x01", false);
    expect_left_out("an-id-that-is-longer-than-any-name-that-this-product-keeps-whole-and-would-be-cut", text, false);
    expect_left_out("i odd", text, false); /* it goes into a header field */
    expect_left_out("i\\u000aodd", text, false);
}
END_TEST

/* A good entry that is overwritten by a bad one is gone from the list, and back with the next good one. */
START_TEST(a_server_whose_entry_is_spoilt_is_gone_until_it_writes_again) {
    char whole[512];
    cw_servers_t list = read_beside_good("i-mid", "{}", false);
    ck_assert_uint_eq(list.count, 2);
    cw_servers_sort(&list);
    list.at = 8;
    entry_text(whole, sizeof(whole), FIELDS, NULL);
    static const char* const values[] = {"{\"state\":\"ready\"}", NULL};
    for (uint32_t i = 0; i < 2; i++) {
        char body[BODY_MAX] = "{\"events\":[";
        add_item(body, "i-first", values[i] ? values[i] : whole, false);
        size_t used = strlen(body);
        snprintf(body + used, BODY_MAX - used, "],\"at\":%u}", 9 + i);
        ck_assert_int_eq(platform_source.read_changes(body, strlen(body), &list, NULL), CW_OK);
        ck_assert_uint_eq(list.count, 1 + i);
    }
    cw_servers_free(&list);
}
END_TEST

/* Bytes of a good entry changed, cut and doubled by chance: whatever comes of it, the good ones beside it are read, and
   what is taken as a server has all its parts. */
START_TEST(entries_spoilt_by_chance_harm_no_other) {
    rng_t rng = {.state = (uint64_t)_i + 1};
    char whole[512];
    entry_text(whole, sizeof(whole), FIELDS, NULL);
    for (uint32_t n = 0; n < 3000; n++) {
        char text[512];
        snprintf(text, sizeof(text), "%s", whole);
        size_t length = strlen(text);
        for (uint32_t changes = 1 + rng_below(&rng, 4); changes; changes--) {
            text[rng_below(&rng, (uint32_t)length)] = (char)(1 + rng_below(&rng, 255));
        }
        text[rng_below(&rng, 8) ? length : rng_below(&rng, (uint32_t)length)] = 0;
        cw_servers_t list = read_beside_good("i-odd", text, false);
        ck_assert_uint_ge(list.count, 2);
        ck_assert_str_eq(list.items[0].id, "i-first");
        ck_assert_str_eq(list.items[list.count - 1].id, "i-last");
        for (uint32_t i = 0; i < list.count; i++) {
            ck_assert(list.items[i].address[0] && list.items[i].pool[0] && list.items[i].hall[0]);
            ck_assert_uint_gt(list.items[i].slots, 0);
        }
        cw_servers_free(&list);
    }
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, a_field_that_is_missing_or_of_another_type_names_no_server);
    tcase_add_test(t, values_out_of_range_name_no_server);
    tcase_add_test(t, bytes_that_cannot_be_read_name_no_server);
    tcase_add_test(t, a_server_whose_entry_is_spoilt_is_gone_until_it_writes_again);
    tcase_add_loop_test(t, entries_spoilt_by_chance_harm_no_other, 0, 4);
}

int main(void) {
    return run_suite("entries", add, 60);
}
