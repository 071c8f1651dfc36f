/*
    The decisions of one shard without a daemon, on a simulated clock: two workspaces, two of the four tiers.
    cc samples/shard.c $(pkg-config --cflags --libs --static chalkway)
*/
#include <chalkway_shard.h>
#include <stdio.h>

int main(void) {
    cw_shard_t* shard = cw_shard_setup(&(cw_shard_desc_t){.epoch = 1});
    const cw_pick_spec_t upstreams[] = {{.id = cw_name_id("engine-1"), .slots = 2}};
    cw_shard_set_upstreams(shard, upstreams, 1);
    for (uint32_t i = 1; i <= 6; i++) {
        cw_shard_request_slot(shard, 0,
                              &(cw_slot_request_t){.entry = cw_name_id("host-1"),
                                                   .seq = i,
                                                   .tier = i == 6 ? 0 : 3,
                                                   .workspace = cw_name_id(i % 2 ? "sofia" : "saqtau"),
                                                   .cost = 100,
                                                   .est_ms = 200,
                                                   .queue_ms = 2000,
                                                   .remaining_ms = 5000});
    }
    cw_shard_action_t action;
    for (int64_t now_ms = 0; now_ms < 1000; now_ms += 200) {
        uint64_t granted[8];
        int count = 0;
        while (cw_shard_next_action(shard, now_ms, &action)) {
            if (action.kind == CW_SHARD_GRANT) {
                printf("%4lld ms: slot request %u is granted\n", (long long)now_ms, action.seq);
                granted[count++] = action.grant;
            }
        }
        while (count) {
            cw_shard_release_grant(shard, now_ms + 200,
                                   &(cw_grant_release_t){.grant = granted[--count], .took_ms = 200, .cost = 100});
        }
    }
    cw_shard_shutdown(shard);
    return 0;
}
