/* The compact form of a list of servers: it says the same, takes a fifth of the JSON form, and nonsense is refused. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_packed.h"
#include "rng.h"
#include "test.h"

static cw_servers_t list_of(uint32_t count) {
    cw_servers_t list = {.at = 70000, .age_ms = 120, .closed = {.at = 69000}};
    cw_closed_add(&list.closed, "hall-1");
    for (uint32_t i = 0; i < count; i++) {
        cw_server_t s = {.slots = 32, .leaving = i % 7 == 0, .cold_ms = i % 5 ? 0 : 300};
        snprintf(s.id, sizeof(s.id), "i-%010x", i * 2654435761U);
        snprintf(s.address, sizeof(s.address), "10.%u.%u.%u:%u", i % 6, i / 250 % 250, 1 + i % 250, 1024 + i % 60000);
        snprintf(s.pool, sizeof(s.pool), "pool-%u", i % 2);
        snprintf(s.hall, sizeof(s.hall), "hall-%u", i % 6);
        s.started_ms = i % 3 ? 1767744000123 + i : 0;
        s.revision = 60000 + i * 977 % 10000;
        cw_servers_add(&list, &s);
    }
    cw_servers_sort(&list);
    return list;
}

static void same_both_ways(uint32_t count) {
    cw_servers_t list = list_of(count);
    cw_servers_t back = {0};
    cw_changes_t changes = {.since = 65000};
    cw_changes_t learned = {0};
    size_t size = 0;
    cw_changes_add_gone(&changes, "i-gone", 66000);
    cw_changes_add_gone(&changes, "i-gone-too", 70000);
    char* bytes = cw_packed_write(&list, &changes, &size);
    ck_assert(cw_packed_is(bytes, size));
    ck_assert_int_eq(cw_packed_read(&back, &learned, bytes, size, NULL), CW_OK);
    ck_assert(cw_servers_equal(&list, &back));
    ck_assert(learned.since == 65000 && learned.count == 2 && learned.gone[1].revision == 70000);
    ck_assert_str_eq(learned.gone[0].id, "i-gone");
    ck_assert(back.at == list.at && back.age_ms == list.age_ms && back.closed.at == list.closed.at);
    for (uint32_t i = 0; i < count; i++) {
        ck_assert_int_eq(back.items[i].revision, list.items[i].revision);
    }
    cw_servers_free(&list);
    cw_servers_free(&back);
    cw_changes_free(&changes);
    cw_changes_free(&learned);
    free(bytes);
}

START_TEST(a_list_comes_back_as_it_was) {
    same_both_ways(0);
    same_both_ways(1);
    same_both_ways(1000);
}
END_TEST

/* Every host of a fleet that starts fetches the whole list over a link of 20 Mbit/s, from hosts that all others ask as
   well: 1.1 MB of 6,003 servers took longer than the call may. */
START_TEST(a_list_of_thousands_takes_a_fifth_of_its_json_form) {
    cw_servers_t list = list_of(6003);
    cw_changes_t changes = {0};
    size_t size = 0;
    char* bytes = cw_packed_write(&list, &changes, &size);
    char* text = cw_servers_text(&list);
    ck_assert_uint_le(size * 4, strlen(text));
    ck_assert_uint_le(size, (size_t)list.count * 48);
    free(bytes);
    free(text);
    cw_servers_free(&list);
}
END_TEST

START_TEST(nonsense_is_refused) {
    rng_t rng = {.state = 5};
    cw_changes_t changes = {.since = 65000};
    cw_changes_t learned = {0};
    cw_changes_add_gone(&changes, "i-gone", 66000);
    cw_servers_t list = list_of(20);
    size_t size = 0;
    char* bytes = cw_packed_write(&list, &changes, &size);
    for (size_t cut = 0; cut < size; cut++) {
        cw_servers_t back = {0};
        cw_error_t err = {0};
        ck_assert_int_eq(cw_packed_read(&back, &learned, bytes, cut, &err), CW_ERR_INVALID);
        ck_assert_str_eq(err.step, "servers");
        ck_assert_uint_eq(back.count + learned.count, 0);
    }
    for (int round = 0; round < 20000; round++) {
        char* spoilt = malloc(size + 1);
        memcpy(spoilt, bytes, size);
        for (uint32_t n = 1 + rng_below(&rng, 4); n; n--) {
            spoilt[rng_below(&rng, (uint32_t)size)] = (char)rng_below(&rng, 256);
        }
        cw_servers_t back = {0};
        if (cw_packed_read(&back, &learned, spoilt, size, NULL) == CW_OK) {
            ck_assert_uint_le(back.count, list.count);
            for (uint32_t i = 0; i < back.count; i++) {
                ck_assert(back.items[i].id[0] && back.items[i].pool[0] && back.items[i].slots);
            }
        }
        cw_servers_free(&back);
        cw_changes_free(&learned);
        free(spoilt);
    }
    cw_servers_t back = {0};
    static const char array[] = "\xb2"
                                "chalkway-servers-1\xdd\xff\xff\xff\xff";
    ck_assert_int_eq(cw_packed_read(&back, &learned, array, sizeof(array) - 1, NULL), CW_ERR_INVALID);
    free(bytes);
    cw_servers_free(&list);
    cw_changes_free(&changes);
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, a_list_comes_back_as_it_was);
    tcase_add_test(t, a_list_of_thousands_takes_a_fifth_of_its_json_form);
    tcase_add_test(t, nonsense_is_refused);
}

int main(void) {
    return run_suite("packed", add, 30);
}
