/* Compact encoding of a list of servers: it decodes to the same list, takes a fifth of the JSON form, and invalid input
   is refused. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_packed.h"
#include "rng.h"
#include "test.h"

static cw_servers_t make_list(uint32_t count) {
    cw_servers_t list = {.at = 70000, .age_ms = 120, .closed = {.at = 69000}};
    cw_closed_halls_add(&list.closed, "hall-1");
    for (uint32_t i = 0; i < count; i++) {
        cw_server_t s = {.slots = 32, .leaving = i % 7 == 0, .cold_ms = i % 5 ? 0 : 300};
        snprintf(s.id, sizeof(s.id), "i-%010x", i * 2654435761U);
        snprintf(s.address, sizeof(s.address), "10.%u.%u.%u:%u", i % 6, i / 250 % 250, 1 + i % 250, 1024 + i % 60000);
        snprintf(s.pool, sizeof(s.pool), "pool-%u", i % 2);
        snprintf(s.hall, sizeof(s.hall), "hall-%u", i % 6);
        snprintf(s.version, sizeof(s.version), i % 4 ? "v1.%u" : "", i % 3);
        s.started_ms = i % 3 ? 1767744000123 + i : 0;
        s.revision = 60000 + i * 977 % 10000;
        cw_servers_add(&list, &s);
    }
    cw_servers_sort(&list);
    return list;
}

static void check_round_trip(uint32_t count) {
    cw_servers_t list = make_list(count);
    cw_servers_t decoded = {0};
    cw_changes_t changes = {.since = 65000};
    cw_changes_t received_changes = {0};
    size_t size = 0;
    cw_changes_add_removed(&changes, "i-gone", 66000);
    cw_changes_add_removed(&changes, "i-gone-too", 70000);
    char* bytes = cw_packed_encode(&list, &changes, &size);
    ck_assert(cw_packed_has_magic(bytes, size));
    ck_assert_int_eq(cw_packed_decode(&decoded, &received_changes, bytes, size, NULL), CW_OK);
    ck_assert(cw_servers_equal(&list, &decoded));
    ck_assert(received_changes.since == 65000 && received_changes.count == 2 &&
              received_changes.removed[1].revision == 70000);
    ck_assert_str_eq(received_changes.removed[0].id, "i-gone");
    ck_assert(decoded.at == list.at && decoded.age_ms == list.age_ms && decoded.closed.at == list.closed.at);
    for (uint32_t i = 0; i < count; i++) {
        ck_assert_int_eq(decoded.items[i].revision, list.items[i].revision);
    }
    cw_servers_free(&list);
    cw_servers_free(&decoded);
    cw_changes_free(&changes);
    cw_changes_free(&received_changes);
    free(bytes);
}

START_TEST(a_list_survives_the_round_trip) {
    check_round_trip(0);
    check_round_trip(1);
    check_round_trip(1000);
}
END_TEST

/* When a fleet starts, every host fetches the full list over a link of 20 Mbit/s, from hosts that all others ask as
   well. In the JSON form, 1.1 MB for 6,003 servers, this took longer than the timeout of the call. */
START_TEST(a_large_list_takes_a_fifth_of_its_json_form) {
    cw_servers_t list = make_list(6003);
    cw_changes_t changes = {0};
    size_t size = 0;
    char* bytes = cw_packed_encode(&list, &changes, &size);
    char* text = cw_servers_to_json(&list);
    ck_assert_uint_le(size * 4, strlen(text));
    ck_assert_uint_le(size, (size_t)list.count * 48);
    free(bytes);
    free(text);
    cw_servers_free(&list);
}
END_TEST

START_TEST(invalid_encodings_are_refused) {
    rng_t rng = {.state = 5};
    cw_changes_t changes = {.since = 65000};
    cw_changes_t received_changes = {0};
    cw_changes_add_removed(&changes, "i-gone", 66000);
    cw_servers_t list = make_list(20);
    size_t size = 0;
    char* bytes = cw_packed_encode(&list, &changes, &size);
    for (size_t cut = 0; cut < size; cut++) {
        cw_servers_t decoded = {0};
        cw_error_t err = {0};
        ck_assert_int_eq(cw_packed_decode(&decoded, &received_changes, bytes, cut, &err), CW_ERR_INVALID);
        ck_assert_str_eq(err.step, "servers");
        ck_assert_uint_eq(decoded.count + received_changes.count, 0);
    }
    for (int round = 0; round < 20000; round++) {
        char* corrupted = malloc(size + 1);
        memcpy(corrupted, bytes, size);
        for (uint32_t n = 1 + rng_below(&rng, 4); n; n--) {
            corrupted[rng_below(&rng, (uint32_t)size)] = (char)rng_below(&rng, 256);
        }
        cw_servers_t decoded = {0};
        if (cw_packed_decode(&decoded, &received_changes, corrupted, size, NULL) == CW_OK) {
            ck_assert_uint_le(decoded.count, list.count);
            for (uint32_t i = 0; i < decoded.count; i++) {
                ck_assert(decoded.items[i].id[0] && decoded.items[i].pool[0] && decoded.items[i].slots);
            }
        }
        cw_servers_free(&decoded);
        cw_changes_free(&received_changes);
        free(corrupted);
    }
    cw_servers_t decoded = {0};
    static const char array[] = "\xb2"
                                "chalkway-servers-1\xdd\xff\xff\xff\xff";
    ck_assert_int_eq(cw_packed_decode(&decoded, &received_changes, array, sizeof(array) - 1, NULL), CW_ERR_INVALID);
    free(bytes);
    cw_servers_free(&list);
    cw_changes_free(&changes);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_list_survives_the_round_trip);
    tcase_add_test(t, a_large_list_takes_a_fifth_of_its_json_form);
    tcase_add_test(t, invalid_encodings_are_refused);
}

int main(void) {
    return run_suite("packed", add_tests, 30);
}
