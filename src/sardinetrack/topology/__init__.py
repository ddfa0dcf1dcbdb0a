"""What the fleet serves: routes, pools, workspaces and backend servers."""
