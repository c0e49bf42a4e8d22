package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/platform"
)

func TestWrongSettingsAreOneLineAndExitCode2(t *testing.T) {
	t.Setenv(platform.EnvironmentSettings, "")
	path := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"nodeName":"n"}`), 0o600))
	for remedy, arguments := range map[string][]string{
		"set " + platform.EnvironmentSettings: {"cloverwheeld", "check"},
		"name a readable file":                {"cloverwheeld", "serve", "--settings", path + ".none"},
		"field zone is missing":               {"cloverwheeld", "serve", "--settings", path},
	} {
		err := rootCommand().Run(context.Background(), arguments)
		require.ErrorContains(t, err, remedy)
		require.NotContains(t, err.Error(), "\n")
		require.Equal(t, exitUsage, exitCode(err))
	}
	require.Equal(t, exitFailure, exitCode(errors.New("address in use")))
}

func TestSettingsComeFromTheEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	good := `{"nodeName":"n","zone":"z","ip":"127.0.0.1","listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2"},"provider":{"address":"127.0.0.1:3"}}`
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	t.Setenv(platform.EnvironmentSettings, path)
	require.NoError(t, rootCommand().Run(context.Background(), []string{"cloverwheeld", "check"}))
}
