/* Store of published resources: revisions never decrease, and the last valid version stays active. */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "../chalkway_store.h"
#include "test.h"

#define POOL "{\"kind\":\"service\"}"

static cw_store_t* store_new(void) {
    return cw_store_setup(&(cw_store_desc_t){.max_items = 64});
}

START_TEST(lower_revisions_are_dropped) {
    cw_store_t* s = store_new();
    ck_assert_int_eq(cw_store_put(s, "pools/a", 5, POOL), CW_OK);
    ck_assert_int_eq(cw_store_put(s, "pools/a", 4, "{\"kind\":\"engine\"}"), CW_ERR_STALE);
    ck_assert_int_eq(cw_store_put(s, "pools/a", 6, NULL), CW_OK);
    ck_assert_int_eq(cw_store_put(s, "pools/a", 5, POOL), CW_ERR_STALE); /* a stale version does not undo a deletion */
    cw_store_commit(s, 6);
    cw_snapshot_t* snapshot = cw_store_snapshot(s);
    ck_assert_uint_eq(snapshot->pool_count, 0);
    cw_snapshot_release(snapshot);
    cw_store_shutdown(s);
}
END_TEST

START_TEST(the_last_valid_version_stays_active) {
    cw_store_t* s = store_new();
    cw_store_put(s, "pools/a", 1, "{\"kind\":\"service\",\"reserve\":3}");
    ck_assert_int_eq(cw_store_put(s, "pools/a", 2, "{\"kind\":\"teapot\"}"), CW_ERR_INVALID);
    cw_store_commit(s, 2);
    cw_snapshot_t* snapshot = cw_store_snapshot(s);
    const cw_pool_t* pool = cw_snapshot_pool(snapshot, cw_name_id("a"));
    ck_assert_ptr_nonnull(pool);
    ck_assert_uint_eq(pool->reserve, 3);
    const cw_store_item_t* item = cw_store_find(s, "pools/a");
    ck_assert_int_eq(item->revision, 2);
    ck_assert_int_eq(item->active_revision, 1);
    ck_assert_ptr_nonnull(strstr(item->reason, "kind"));
    cw_snapshot_release(snapshot);
    cw_store_shutdown(s);
}
END_TEST

START_TEST(a_snapshot_does_not_change) {
    cw_store_t* s = store_new();
    cw_store_put(s, "pools/a", 1, POOL);
    cw_store_commit(s, 1);
    cw_snapshot_t* before = cw_store_snapshot(s);
    cw_store_put(s, "pools/a", 2, NULL);
    ck_assert_uint_eq(before->pool_count, 1);
    cw_store_commit(s, 2);
    cw_snapshot_t* after = cw_store_snapshot(s);
    ck_assert_uint_eq(before->pool_count, 1);
    ck_assert_uint_eq(after->pool_count, 0);
    cw_snapshot_release(before);
    cw_snapshot_release(after);
    cw_store_shutdown(s);
}
END_TEST

START_TEST(an_upstream_is_active_once_its_pool_is_published) {
    static const char upstream[] = "{\"pool\":\"a\",\"address\":\"127.0.0.1:80\",\"hall\":\"h\"}";
    cw_store_t* s = store_new();
    cw_store_put(s, "upstreams/u", 1, upstream);
    cw_store_commit(s, 1);
    ck_assert_ptr_nonnull(strstr(cw_store_find(s, "upstreams/u")->reason, "not published"));
    cw_store_put(s, "pools/a", 2, POOL);
    cw_store_commit(s, 2);
    cw_snapshot_t* snapshot = cw_store_snapshot(s);
    ck_assert_uint_eq(snapshot->upstream_count, 1);
    ck_assert_str_eq(cw_store_find(s, "upstreams/u")->reason, "");
    cw_snapshot_release(snapshot);
    cw_store_shutdown(s);
}
END_TEST

START_TEST(invalid_documents_are_refused_with_a_reason) {
    static const struct {
        const char* key;
        const char* value;
        const char* reason;
    } cases[] = {
        {"pools/a", "{", "line"},
        {"pools/a", "[]", "object"},
        {"pools/a", "{}", "kind"},
        {"pools/a", "{\"kind\":\"service\",\"colour\":1}", "does not know"},
        {"teapots/a", "{}", "known kind"},
        {"classes/a", "{\"tier\":4,\"pools\":[\"p\"]}", "tier"},
        {"classes/a", "{\"tier\":1.5,\"pools\":[\"p\"]}", "whole number"},
        {"classes/a", "{\"protected\":true,\"preemptible\":true,\"pools\":[\"p\"]}", "preemptible"},
        {"classes/a", "{\"pools\":[]}", "pools"},
        {"upstreams/u", "{\"pool\":\"a\",\"address\":\"here\",\"hall\":\"h\"}", "address"},
        {"upstreams/u", "{\"pool\":\"a\",\"address\":\"127.0.0.1:80\"}", "hall"},
        {"workspaces/w", "{\"token_digests\":[\"abc\"]}", "64 hexadecimal"},
        {"pools/a", "{\"kind\":\"service\",\"floors\":[0,0.5,0.5,0.5]}", "floors"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cw_error_t err = {0};
        ck_assert_int_eq(cw_store_validate(cases[i].key, cases[i].value, &err), CW_ERR_INVALID);
        ck_assert_msg(strstr(err.message, cases[i].reason) != NULL, "%s: %s", cases[i].value, err.message);
    }
}
END_TEST

START_TEST(workspaces_are_found_by_token_digest) {
    uint8_t digest[CW_DIGEST_BYTES];
    char hex[65];
    char doc[160];
    crypto_generichash(digest, sizeof(digest), (const uint8_t*)"secret", 6, NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
    snprintf(doc, sizeof(doc), "{\"token_digests\":[\"%s\"]}", hex);
    cw_store_t* s = store_new();
    ck_assert_int_eq(cw_store_put(s, "workspaces/w", 1, doc), CW_OK);
    cw_store_commit(s, 1);
    cw_snapshot_t* snapshot = cw_store_snapshot(s);
    ck_assert_ptr_nonnull(cw_snapshot_authenticate(snapshot, digest));
    digest[31] ^= 1;
    ck_assert_ptr_null(cw_snapshot_authenticate(snapshot, digest));
    cw_snapshot_release(snapshot);
    cw_store_shutdown(s);
}
END_TEST

/* Versions that arrive in any order, with stale and duplicate ones among them, lead to the same state. */
START_TEST(any_order_of_arrival_gives_the_same_state) {
    rng_t rng = {.state = (uint64_t)_i + 1};
    cw_store_t* s = store_new();
    int64_t highest[8] = {0};
    bool deleted[8] = {false};
    for (int step = 0; step < 400; step++) {
        uint32_t k = rng_below(&rng, 8);
        int64_t revision = 1 + rng_below(&rng, 1000);
        bool is_deletion = revision % 5 == 0; /* the content depends on the revision only */
        char key[16];
        snprintf(key, sizeof(key), "pools/%u", k);
        cw_store_put(s, key, revision, is_deletion ? NULL : POOL);
        if (revision > highest[k]) {
            highest[k] = revision;
            deleted[k] = is_deletion;
        }
        if (!rng_below(&rng, 10)) {
            cw_store_commit(s, rng_below(&rng, 1000));
        }
        ck_assert_int_eq(cw_store_find(s, key)->revision, highest[k]);
    }
    cw_store_commit(s, 1000);
    cw_snapshot_t* snapshot = cw_store_snapshot(s);
    for (uint32_t k = 0; k < 8; k++) {
        char name[16];
        snprintf(name, sizeof(name), "%u", k);
        ck_assert_int_eq(cw_snapshot_pool(snapshot, cw_name_id(name)) != NULL, highest[k] && !deleted[k]);
    }
    cw_snapshot_release(snapshot);
    cw_store_shutdown(s);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, lower_revisions_are_dropped);
    tcase_add_test(t, the_last_valid_version_stays_active);
    tcase_add_test(t, a_snapshot_does_not_change);
    tcase_add_test(t, an_upstream_is_active_once_its_pool_is_published);
    tcase_add_test(t, invalid_documents_are_refused_with_a_reason);
    tcase_add_test(t, workspaces_are_found_by_token_digest);
    tcase_add_loop_test(t, any_order_of_arrival_gives_the_same_state, 0, 20);
}

int main(void) {
    return run_suite("store", add_tests, 30);
}
