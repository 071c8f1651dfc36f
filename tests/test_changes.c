/* Changes between lists of servers: whoever has one of the last lists comes to the newest one by them, and to no other.
 */
#include <stdio.h>
#include <string.h>

#include "../chalkway_changes.h"
#include "test.h"

#define ROUNDS 200

static cw_server_t server(uint32_t number) {
    cw_server_t s = {.address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 4};
    snprintf(s.id, sizeof(s.id), "s%03u", number);
    return s;
}

static cw_servers_t list_of(uint32_t count) {
    cw_servers_t list = {0};
    for (uint32_t i = 0; i < count; i++) {
        cw_server_t s = server(i);
        cw_servers_put(&list, &s);
    }
    return list;
}

/* A server comes, goes, leaves or becomes cold. */
static void change(cw_servers_t* list, uint64_t random) {
    cw_server_t s = server((uint32_t)(random % 60));
    s.leaving = random / 60 % 3 == 1;
    s.cold_ms = random / 180 % 2 ? 500 : 0;
    list->closed = (cw_closed_t){.at = list->closed.at + 1};
    if (random / 360 % 2) {
        cw_closed_add(&list->closed, "a");
    }
    if (random / 60 % 3 == 2) {
        cw_servers_remove(list, s.id);
    } else {
        cw_servers_put(list, &s);
    }
}

/* What the holder gives, as it comes over the wire; false: nothing. */
static bool fetch(const cw_changes_t* changes, uint64_t have, cw_delta_t* out) {
    cw_delta_t delta = {0};
    bool known = cw_changes_since(changes, have, &delta);
    if (known) {
        char* text = cw_delta_text(&delta);
        ck_assert(cw_delta_is(text, strlen(text)));
        ck_assert_int_eq(cw_delta_read(out, text, strlen(text), NULL), CW_OK);
        free(text);
    }
    cw_delta_free(&delta);
    return known;
}

START_TEST(any_of_the_last_lists_becomes_the_newest) {
    static cw_servers_t lists[ROUNDS + 1];
    cw_changes_t changes = {0};
    lists[0] = list_of(50);
    for (uint32_t round = 1; round <= ROUNDS; round++) {
        cw_servers_copy(&lists[round], &lists[round - 1]);
        for (uint32_t i = 0; i < 1 + round % 4; i++) {
            change(&lists[round], cw_mix(round, i));
        }
        cw_changes_note(&changes, &lists[round - 1], &lists[round]);
        uint32_t first = round > CW_CHANGES_KEPT ? round - CW_CHANGES_KEPT : 0;
        for (uint32_t had = first; had < round; had++) {
            cw_servers_t list = {0};
            cw_delta_t delta = {0};
            cw_servers_copy(&list, &lists[had]);
            ck_assert(fetch(&changes, cw_servers_id(&lists[had]), &delta));
            ck_assert(cw_delta_apply(&list, &delta));
            ck_assert(cw_servers_equal(&list, &lists[round]));
            cw_delta_free(&delta);
            cw_servers_free(&list);
        }
    }
    for (uint32_t i = 0; i <= ROUNDS; i++) {
        cw_servers_free(&lists[i]);
    }
    cw_changes_free(&changes);
}
END_TEST

START_TEST(another_list_is_not_changed_into_a_wrong_one) {
    cw_changes_t changes = {0};
    cw_servers_t before = list_of(50);
    cw_servers_t after = list_of(52);
    cw_servers_t other = list_of(49);
    cw_delta_t delta = {0};
    cw_changes_note(&changes, &before, &after);
    ck_assert(!fetch(&changes, cw_servers_id(&other), &delta)); /* never had that one */
    ck_assert(fetch(&changes, cw_servers_id(&before), &delta));
    ck_assert(!cw_delta_apply(&other, &delta));
    delta.to++; /* the list that comes out is not the one that was meant */
    ck_assert(!cw_delta_apply(&before, &delta));
    cw_delta_free(&delta);
    cw_servers_free(&before);
    cw_servers_free(&after);
    cw_servers_free(&other);
    cw_changes_free(&changes);
}
END_TEST

/* A change of most of the list is no shorter than the list; what was before it no longer leads anywhere. */
START_TEST(a_large_change_ends_what_is_remembered) {
    cw_changes_t changes = {0};
    cw_servers_t small = list_of(50);
    cw_servers_t some = list_of(52);
    cw_servers_t many = list_of(200);
    cw_delta_t delta = {0};
    cw_changes_note(&changes, &small, &some);
    cw_changes_note(&changes, &some, &many);
    ck_assert(!fetch(&changes, cw_servers_id(&small), &delta));
    ck_assert(!fetch(&changes, cw_servers_id(&some), &delta));
    cw_servers_free(&small);
    cw_servers_free(&some);
    cw_servers_free(&many);
    cw_changes_free(&changes);
}
END_TEST

START_TEST(nonsense_is_refused) {
    static const char* const texts[] = {"",
                                        "{\"from\":",
                                        "{\"from\":\"1\",\"to\":\"2\",\"gone\":[]}",
                                        "{\"from\":\"1\",\"to\":\"2\",\"gone\":7,\"servers\":[]}",
                                        "{\"from\":1,\"to\":\"2\",\"gone\":[],\"servers\":[]}",
                                        "{\"from\":\"1\",\"to\":\"2\",\"gone\":[],\"servers\":[{\"id\":\"x\"}]}"};
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        cw_delta_t delta = {0};
        cw_error_t err = {0};
        ck_assert_int_eq(cw_delta_read(&delta, texts[i], strlen(texts[i]), &err), CW_ERR_INVALID);
        ck_assert_str_eq(err.step, "servers");
        ck_assert_uint_eq(delta.put.count + delta.gone.count, 0);
    }
    ck_assert(!cw_delta_is("{\"at\":1,\"servers\":[]}", 21)); /* a whole list */
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, any_of_the_last_lists_becomes_the_newest);
    tcase_add_test(t, another_list_is_not_changed_into_a_wrong_one);
    tcase_add_test(t, a_large_change_ends_what_is_remembered);
    tcase_add_test(t, nonsense_is_refused);
}

int main(void) {
    return run_suite("changes", add, 30);
}
